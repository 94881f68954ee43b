/*
 * Preload library: makes system calls on sockets fail, or transfer less than asked, in ways that their Linux
 * manual pages document.
 *
 * CEDARLEDGE_SYSTEM_CALLS is SEED:RATE:KINDS. RATE is the number of failures per million calls, KINDS a bit
 * mask with one bit for each kind of call. Only errors that do not affect the connection are injected: an error
 * that ends a connection would have to end it for the peer as well.
 * CEDARLEDGE_SYSTEM_CALLS_COUNTS names a file that is mapped into memory, with one 64-bit counter of injected
 * failures for each kind of call.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <unistd.h>

enum kind { ACCEPT, SOCKET, CONNECT, SEND, RECV, EPOLL_WAIT, EPOLL_CTL, CLOSE, KINDS };

static const int accept_errors[] = {ECONNABORTED, EINTR, EMFILE, ENFILE, ENOBUFS, ENOMEM, EPROTO};
static const int socket_errors[] = {EMFILE, ENFILE, ENOBUFS, ENOMEM};
/* Without ETIMEDOUT and ECONNREFUSED, which blame the peer: they may occur only if the peer has failed. */
static const int connect_errors[] = {EADDRNOTAVAIL, EAGAIN, ENETUNREACH, EINTR};
static const int send_errors[] = {EAGAIN, EINTR, ENOBUFS, ENOMEM};
static const int recv_errors[] = {EAGAIN, EINTR, ENOMEM};
static const int epoll_wait_errors[] = {EINTR};
static const int epoll_ctl_errors[] = {ENOMEM, ENOSPC};
static const int close_errors[] = {EINTR, EIO};

static uint64_t state;
static uint64_t rate;
static uint64_t chosen_kinds;
static volatile uint64_t *counts;

#define SYSTEM(name, result, ...)                            \
    static result (*system_##name)(__VA_ARGS__);             \
    if (system_##name == NULL)                               \
        system_##name = (result (*)(__VA_ARGS__))dlsym(RTLD_NEXT, #name)

__attribute__((constructor)) static void read_settings(void)
{
    const char *settings = getenv("CEDARLEDGE_SYSTEM_CALLS");
    const char *path = getenv("CEDARLEDGE_SYSTEM_CALLS_COUNTS");
    unsigned long long seed, per_million, kinds;
    if (settings == NULL || sscanf(settings, "%llu:%llu:%llu", &seed, &per_million, &kinds) != 3)
        return;
    if (path != NULL) {
        int file = open(path, O_RDWR | O_CLOEXEC);
        void *mapped = mmap(NULL, KINDS * sizeof *counts, PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
        if (mapped != MAP_FAILED)
            counts = mapped;
        close(file);
    }
    state = seed * 0x9E3779B97F4A7C15u + getpid() + 1;
    rate = per_million;
    chosen_kinds = kinds;
}

static uint64_t draw(void)
{
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    return state;
}

static int fails(enum kind kind)
{
    if (rate == 0 || !(chosen_kinds >> kind & 1) || draw() % 1000000 >= rate)
        return 0;
    if (counts != NULL)
        counts[kind]++;
    return 1;
}

#define FAIL(errors) (errno = errors[draw() % (sizeof errors / sizeof *errors)], -1)

static int is_socket(int descriptor)
{
    int type;
    socklen_t length = sizeof type;
    int kept = errno;
    int result = getsockopt(descriptor, SOL_SOCKET, SO_TYPE, &type, &length) == 0;
    errno = kept;
    return result;
}

int accept4(int descriptor, struct sockaddr *address, socklen_t *length, int flags)
{
    SYSTEM(accept4, int, int, struct sockaddr *, socklen_t *, int);
    return fails(ACCEPT) ? FAIL(accept_errors) : system_accept4(descriptor, address, length, flags);
}

int socket(int domain, int type, int protocol)
{
    SYSTEM(socket, int, int, int, int);
    return fails(SOCKET) ? FAIL(socket_errors) : system_socket(domain, type, protocol);
}

int connect(int descriptor, const struct sockaddr *address, socklen_t length)
{
    SYSTEM(connect, int, int, const struct sockaddr *, socklen_t);
    return fails(CONNECT) ? FAIL(connect_errors) : system_connect(descriptor, address, length);
}

ssize_t send(int descriptor, const void *data, size_t size, int flags)
{
    SYSTEM(send, ssize_t, int, const void *, size_t, int);
    if (!fails(SEND))
        return system_send(descriptor, data, size, flags);
    if (draw() % 2 && size > 1)
        return system_send(descriptor, data, 1 + draw() % (size - 1), flags);
    return FAIL(send_errors);
}

ssize_t recv(int descriptor, void *data, size_t size, int flags)
{
    SYSTEM(recv, ssize_t, int, void *, size_t, int);
    if (!fails(RECV))
        return system_recv(descriptor, data, size, flags);
    if (draw() % 2 && size > 1)
        return system_recv(descriptor, data, 1 + draw() % 8 % size, flags);
    return FAIL(recv_errors);
}

int epoll_wait(int descriptor, struct epoll_event *events, int most, int timeout)
{
    SYSTEM(epoll_wait, int, int, struct epoll_event *, int, int);
    return fails(EPOLL_WAIT) ? FAIL(epoll_wait_errors) : system_epoll_wait(descriptor, events, most, timeout);
}

int epoll_ctl(int descriptor, int operation, int target, struct epoll_event *event)
{
    SYSTEM(epoll_ctl, int, int, int, int, struct epoll_event *);
    /* Removing a descriptor needs no memory, so it does not fail. */
    if (operation != EPOLL_CTL_DEL && fails(EPOLL_CTL))
        return FAIL(epoll_ctl_errors);
    return system_epoll_ctl(descriptor, operation, target, event);
}

int close(int descriptor)
{
    SYSTEM(close, int, int);
    if (rate == 0 || !is_socket(descriptor) || !fails(CLOSE))
        return system_close(descriptor);
    /* Linux closes the descriptor even if close() returns an error. */
    system_close(descriptor);
    return FAIL(close_errors);
}
