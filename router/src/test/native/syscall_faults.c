/*
 * Library that is preloaded into a router under test and makes its system calls fail as the test requests. The test and
 * the library share one file, named by SYSCALL_FAULTS, that holds one struct fault for each kind of call, in the order
 * of enum kind. Affects only IPv4 sockets, and only files whose name ends with SYSCALL_FAULTS_FILE.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/types.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum kind { ACCEPT, SOCKET, CONNECT, WAIT, READ, WRITE, OPEN, EPOLL_CREATE, CLOCK, KINDS };

struct fault {
    int32_t remaining; /* number of further calls that fail or are short */
    int32_t error;     /* errno of a call that fails; 0 for a read or write of one byte */
    int32_t made;      /* number of calls that have failed or were short so far */
    int32_t shift;     /* CLOCK only: seconds by which the wall clock is shifted */
};

static struct fault *faults;
static const char *file_end;

__attribute__((constructor)) static void load(void) {
    const char *path = getenv("SYSCALL_FAULTS");
    file_end = getenv("SYSCALL_FAULTS_FILE");
    int fd = path == NULL ? -1 : (int) syscall(SYS_openat, AT_FDCWD, path, O_RDWR, 0);
    if (fd < 0) {
        return;
    }
    void *shared = mmap(NULL, KINDS * sizeof(struct fault), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    faults = shared == MAP_FAILED ? NULL : shared;
}

#define REAL(name) \
    static __typeof__(&name) real; \
    if (real == NULL) { \
        real = (__typeof__(&name)) dlsym(RTLD_NEXT, #name); \
    }

/* Returns whether this call has to fail, and counts it if so. */
static int fails(enum kind kind) {
    if (faults == NULL) {
        return 0;
    }
    struct fault *fault = &faults[kind];
    int32_t left = __atomic_load_n(&fault->remaining, __ATOMIC_ACQUIRE);
    while (left > 0) {
        if (__atomic_compare_exchange_n(&fault->remaining, &left, left - 1, 0, __ATOMIC_ACQ_REL, __ATOMIC_ACQUIRE)) {
            errno = fault->error;
            __atomic_add_fetch(&fault->made, 1, __ATOMIC_ACQ_REL);
            return 1;
        }
    }
    return 0;
}

static int is_ipv4_socket(int fd) {
    int domain = 0;
    socklen_t length = sizeof domain;
    int before = errno;
    int found = getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &length) == 0 && domain == AF_INET;
    errno = before;
    return found;
}

/* Returns 0 to transfer all bytes as requested, 1 to transfer a single byte, -1 to fail. */
static int transfer(enum kind kind, int fd) {
    if (faults == NULL || __atomic_load_n(&faults[kind].remaining, __ATOMIC_ACQUIRE) <= 0 || !is_ipv4_socket(fd)) {
        return 0;
    }
    if (!fails(kind)) {
        return 0;
    }
    return faults[kind].error == 0 ? 1 : -1;
}

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    REAL(accept);
    return fails(ACCEPT) ? -1 : real(fd, address, length);
}

int socket(int domain, int type, int protocol) {
    REAL(socket);
    return domain == AF_INET && fails(SOCKET) ? -1 : real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    REAL(connect);
    return address->sa_family == AF_INET && fails(CONNECT) ? -1 : real(fd, address, length);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
    REAL(epoll_wait);
    return fails(WAIT) ? -1 : real(fd, events, most, timeout);
}

int epoll_create1(int flags) {
    REAL(epoll_create1);
    return fails(EPOLL_CREATE) ? -1 : real(flags);
}

ssize_t read(int fd, void *bytes, size_t count) {
    REAL(read);
    int how = transfer(READ, fd);
    return how < 0 ? -1 : real(fd, bytes, how > 0 && count > 1 ? 1 : count);
}

ssize_t readv(int fd, const struct iovec *pieces, int count) {
    REAL(readv);
    int how = transfer(READ, fd);
    return how < 0 ? -1 : how > 0 ? read(fd, pieces[0].iov_base, 1) : real(fd, pieces, count);
}

ssize_t write(int fd, const void *bytes, size_t count) {
    REAL(write);
    int how = transfer(WRITE, fd);
    return how < 0 ? -1 : real(fd, bytes, how > 0 && count > 1 ? 1 : count);
}

ssize_t writev(int fd, const struct iovec *pieces, int count) {
    REAL(writev);
    int how = transfer(WRITE, fd);
    return how < 0 ? -1 : how > 0 ? write(fd, pieces[0].iov_base, 1) : real(fd, pieces, count);
}

static int is_named(const char *path) {
    size_t length = strlen(path);
    size_t end = file_end == NULL ? 0 : strlen(file_end);
    return end > 0 && length >= end && strcmp(path + length - end, file_end) == 0;
}

int open(const char *path, int flags, ...) {
    REAL(open);
    va_list rest;
    va_start(rest, flags);
    mode_t mode = va_arg(rest, mode_t);
    va_end(rest);
    return is_named(path) && fails(OPEN) ? -1 : real(path, flags, mode);
}

int open64(const char *path, int flags, ...) {
    REAL(open64);
    va_list rest;
    va_start(rest, flags);
    mode_t mode = va_arg(rest, mode_t);
    va_end(rest);
    return is_named(path) && fails(OPEN) ? -1 : real(path, flags, mode);
}

/* Shifts the wall clock but not the monotonic clock. */
int clock_gettime(clockid_t clock, struct timespec *time) {
    REAL(clock_gettime);
    int result = real(clock, time);
    if (clock == CLOCK_REALTIME && faults != NULL) {
        time->tv_sec += __atomic_load_n(&faults[CLOCK].shift, __ATOMIC_ACQUIRE);
    }
    return result;
}
