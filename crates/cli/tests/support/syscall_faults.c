/* Makes socket calls of a process fail at intervals, loaded by LD_PRELOAD.
 *
 * SYSCALL_FAULTS names what fails: "accept4=103/4,connect=101/3" has every fourth accept4 fail with errno 103 and every
 * third connect with errno 101. Calls are counted from 1 for each function. A call that fails does nothing else, but
 * for accept4, which takes the connection and ends it where the errno is ECONNABORTED.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* The errno with which this call of a function is to fail, or 0. */
static int fault(const char *function, atomic_uint *calls) {
    const char *faults = getenv("SYSCALL_FAULTS");
    const char *named = faults ? strstr(faults, function) : NULL;
    int number;
    unsigned every;
    if (!named || sscanf(named + strlen(function), "=%d/%u", &number, &every) != 2 || every == 0)
        return 0;
    return (atomic_fetch_add(calls, 1) + 1) % every == 0 ? number : 0;
}

int accept4(int listener, struct sockaddr *address, socklen_t *length, int flags) {
    static int (*real)(int, struct sockaddr *, socklen_t *, int);
    static atomic_uint calls;
    if (!real)
        real = dlsym(RTLD_NEXT, "accept4");
    int descriptor = real(listener, address, length, flags);
    if (descriptor < 0)
        return descriptor;
    int number = fault("accept4", &calls);
    if (number == 0)
        return descriptor;
    close(descriptor);
    errno = number;
    return -1;
}

int socket(int domain, int type, int protocol) {
    static int (*real)(int, int, int);
    static atomic_uint calls;
    if (!real)
        real = dlsym(RTLD_NEXT, "socket");
    int number = fault("socket", &calls);
    if (number == 0)
        return real(domain, type, protocol);
    errno = number;
    return -1;
}

int connect(int descriptor, const struct sockaddr *address, socklen_t length) {
    static int (*real)(int, const struct sockaddr *, socklen_t);
    static atomic_uint calls;
    if (!real)
        real = dlsym(RTLD_NEXT, "connect");
    int number = fault("connect", &calls);
    if (number == EINTR) {
        /* The connection goes on, as after a signal. */
        real(descriptor, address, length);
        errno = EINTR;
        return -1;
    }
    if (number == 0)
        return real(descriptor, address, length);
    errno = number;
    return -1;
}
