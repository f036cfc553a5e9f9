/* Stands in for a platform that holds the clients' listening socket: listens on a free port of 127.0.0.1, puts the socket
   at descriptor 0, names the port in HELD_PORT and runs a command, whose children inherit the descriptor. */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

static int fail(const char *what) {
    perror(what);
    return 2;
}

int main(int argc, char **argv) {
    struct sockaddr_in address = {0};
    socklen_t length = sizeof address;
    char port[8];
    int listening = socket(AF_INET, SOCK_STREAM, 0);

    if (argc < 2 || listening < 0) {
        return fail("socket");
    }
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(listening, (struct sockaddr *) &address, sizeof address) < 0 || listen(listening, 512) < 0
            || getsockname(listening, (struct sockaddr *) &address, &length) < 0) {
        return fail("listen");
    }
    snprintf(port, sizeof port, "%u", (unsigned) ntohs(address.sin_port));
    if (setenv("HELD_PORT", port, 1) < 0 || dup2(listening, 0) < 0) {
        return fail("descriptor 0");
    }
    execvp(argv[1], argv + 1);
    return fail(argv[1]);
}
