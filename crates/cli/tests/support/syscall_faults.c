/* Library that makes socket calls of a process fail at regular intervals, loaded with LD_PRELOAD.
 *
 * SYSCALL_FAULTS lists the failing calls: with "accept4=103/4,connect=101/3", every fourth accept4 fails with errno 103
 * and every third connect with errno 101. Calls are counted from 1, separately for each function. A failing call has no
 * other effect, with two exceptions: accept4 accepts the connection and closes it, and connect with EINTR starts the
 * connection attempt.
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

/* Returns the errno with which this call of a function must fail, or 0. */
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
        /* The connection attempt continues, as after an interruption by a signal. */
        real(descriptor, address, length);
        errno = EINTR;
        return -1;
    }
    if (number == 0)
        return real(descriptor, address, length);
    errno = number;
    return -1;
}
