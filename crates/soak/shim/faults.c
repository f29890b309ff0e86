/* Preloaded library that makes system calls of its process fail, with errors that Linux documents for them.
 *
 * The environment variable SOAK_SHIM names the control file, which holds one struct control and which the soak test
 * rewrites in place while the process runs. Without a control file every call is passed through. */
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
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

struct fault {
    uint32_t error; /* errno that the call fails with */
    uint32_t rate;  /* failures per million calls */
};

/* Layout of the control file; has to match `Faults` in crates/soak/src/shim.rs. */
struct control {
    struct fault accept;
    struct fault socket;
    struct fault connect;
    struct fault interrupt; /* reads and writes, and also waits if the error is EINTR */
    struct fault shorten;   /* partial reads and writes; the error is ignored */
    struct fault broken;    /* breaks connections that this process opened */
    struct fault config;    /* opening the configuration file */
    struct fault log;       /* writing to standard error */
    int64_t wall_offset_ns; /* added to CLOCK_REALTIME */
};

#define MAX_DESCRIPTORS 4096
static volatile const struct control *control;
static unsigned char outbound[MAX_DESCRIPTORS]; /* descriptors of connections that this process opened */
static uint64_t rng_state = 88172645463325252ull;

__attribute__((constructor)) static void map_control(void) {
    const char *path = getenv("SOAK_SHIM");
    int file = path ? open(path, O_RDONLY | O_CLOEXEC) : -1;
    if (file < 0)
        return;
    void *map = mmap(NULL, sizeof(struct control), PROT_READ, MAP_SHARED, file, 0);
    close(file);
    if (map != MAP_FAILED)
        control = map;
    rng_state ^= (uint64_t)getpid() << 20;
}

/* Draws (xorshift64) whether a call fails by this fault; sets errno if so. */
static int should_fail(volatile const struct fault *fault) {
    if (!control || fault->rate == 0)
        return 0;
    rng_state ^= rng_state << 13;
    rng_state ^= rng_state >> 7;
    rng_state ^= rng_state << 17;
    if (rng_state % 1000000 >= fault->rate)
        return 0;
    errno = (int)fault->error;
    return 1;
}

/* The C library's function that this library wraps. */
#define NEXT_SYMBOL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))
/* Defines `real` as the wrapped function, looked up once. */
#define RESOLVE_REAL(name)                   \
    static __typeof__(&name) real;           \
    if (!real)                               \
        real = NEXT_SYMBOL(name)

static int is_outbound(int fd) { return fd >= 0 && fd < MAX_DESCRIPTORS && outbound[fd]; }

static void set_outbound(int fd, int value) {
    if (fd >= 0 && fd < MAX_DESCRIPTORS)
        outbound[fd] = (unsigned char)value;
}

/* Draws whether a connection breaks. It is shut down then, so that it stays broken and its other end notices, too. */
static int break_connection(int fd) {
    if (!is_outbound(fd) || !should_fail(&control->broken))
        return 0;
    int error = errno;
    shutdown(fd, SHUT_RDWR);
    errno = error;
    return 1;
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    RESOLVE_REAL(accept4);
    if (control && should_fail(&control->accept))
        return -1;
    int new = real(fd, address, length, flags);
    set_outbound(new, 0);
    return new;
}

int socket(int domain, int type, int protocol) {
    RESOLVE_REAL(socket);
    if (control && domain == AF_INET && should_fail(&control->socket))
        return -1;
    int new = real(domain, type, protocol);
    set_outbound(new, 0);
    return new;
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    RESOLVE_REAL(connect);
    if (control && should_fail(&control->connect))
        return -1;
    set_outbound(fd, 1);
    return real(fd, address, length);
}

/* Draws whether a call is interrupted. Only AF_INET sockets are affected: calls on the sockets that the process
 * uses internally never block, so Linux does not interrupt them, and the runtime's own wake-ups are not under test. */
static int should_interrupt(int fd) {
    int domain;
    socklen_t length = sizeof domain;
    if (control->interrupt.rate == 0 || getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &length) != 0)
        return 0;
    return domain == AF_INET && should_fail(&control->interrupt);
}

/* The length to transfer: all of it, or about a third if the call is to be partial. */
static size_t partial_length(size_t length) {
    return control && length > 1 && should_fail(&control->shorten) ? 1 + length / 3 : length;
}

ssize_t recv(int fd, void *buffer, size_t length, int flags) {
    RESOLVE_REAL(recv);
    if (control && (should_interrupt(fd) || (!(flags & MSG_PEEK) && break_connection(fd))))
        return -1;
    return real(fd, buffer, flags & MSG_PEEK ? length : partial_length(length), flags);
}

ssize_t send(int fd, const void *buffer, size_t length, int flags) {
    RESOLVE_REAL(send);
    if (control && (should_interrupt(fd) || break_connection(fd)))
        return -1;
    return real(fd, buffer, partial_length(length), flags);
}

static int is_socket(int fd) {
    int type;
    socklen_t length = sizeof type;
    return getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &length) == 0;
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    RESOLVE_REAL(writev);
    if (control && fd == STDERR_FILENO && should_fail(&control->log))
        return -1;
    if (control && is_socket(fd)) {
        if (should_interrupt(fd) || break_connection(fd))
            return -1;
        if (count > 0 && parts[0].iov_len > 1 && should_fail(&control->shorten)) {
            struct iovec part = {parts[0].iov_base, 1 + parts[0].iov_len / 3};
            return real(fd, &part, 1);
        }
    }
    return real(fd, parts, count);
}

ssize_t write(int fd, const void *buffer, size_t length) {
    RESOLVE_REAL(write);
    if (control && fd == STDERR_FILENO && should_fail(&control->log))
        return -1;
    return real(fd, buffer, length);
}

int epoll_wait(int fd, struct epoll_event *events, int max_events, int timeout) {
    RESOLVE_REAL(epoll_wait);
    /* EINTR is the only one of the errors for reads and writes that epoll_wait can return. */
    if (control && control->interrupt.error == EINTR && should_fail(&control->interrupt))
        return -1;
    return real(fd, events, max_events, timeout);
}

static int is_config(const char *path) {
    const char *config = getenv("LB_CONFIG");
    return config && path && strcmp(config, path) == 0;
}

#define OPEN(name)                                                            \
    int name(const char *path, int flags, ...) {                              \
        RESOLVE_REAL(name);                                                   \
        va_list arguments;                                                    \
        va_start(arguments, flags);                                           \
        mode_t mode = flags & (O_CREAT | O_TMPFILE) ? va_arg(arguments, mode_t) : 0; \
        va_end(arguments);                                                    \
        if (control && is_config(path) && should_fail(&control->config))      \
            return -1;                                                        \
        return real(path, flags, mode);                                       \
    }

OPEN(open)
OPEN(open64)

int clock_gettime(clockid_t clock, struct timespec *time) {
    RESOLVE_REAL(clock_gettime);
    int result = real(clock, time);
    if (result == 0 && control && clock == CLOCK_REALTIME) {
        int64_t at = time->tv_sec * 1000000000ll + time->tv_nsec + control->wall_offset_ns;
        time->tv_sec = at / 1000000000ll;
        time->tv_nsec = at % 1000000000ll;
    }
    return result;
}
