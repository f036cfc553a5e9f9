/* Listens on a loopback port, puts that socket at descriptor 0, as a platform that holds the clients' listening socket
   does, and runs a command with it. The port goes into the environment as HELD_PORT. */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

int main(int argc, char **argv) {
    int s = socket(AF_INET, SOCK_STREAM, 0);
    int on = 1;
    struct sockaddr_in a = {0};
    socklen_t n = sizeof a;
    char port[16];
    a.sin_family = AF_INET;
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (argc < 2 || s < 0 || setsockopt(s, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) < 0
        || bind(s, (struct sockaddr *) &a, sizeof a) < 0 || listen(s, 512) < 0
        || getsockname(s, (struct sockaddr *) &a, &n) < 0 || dup2(s, 0) < 0) {
        perror("hold");
        return 2;
    }
    if (s != 0) {
        close(s);
    }
    snprintf(port, sizeof port, "%d", ntohs(a.sin_port));
    setenv("HELD_PORT", port, 1);
    execvp(argv[1], argv + 1);
    perror(argv[1]);
    return 2;
}
