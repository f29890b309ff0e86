/* Fails system calls of the process that it is preloaded into, as Linux documents that they may fail.
 *
 * SOAK_SHIM names the control file, which the soak test rewrites in place while the process runs: one struct control. A
 * rate is a chance in a million. Without a control file every call passes through. */
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
    uint32_t error;
    uint32_t rate;
};

/* The order of crates/soak/src/shim.rs. */
struct control {
    struct fault accept;
    struct fault socket;
    struct fault connect;
    struct fault interrupt; /* reads and writes; waits too where it is EINTR */
    struct fault shorten;   /* reads and writes of a part */
    struct fault broken;    /* connections that this process opened */
    struct fault config;    /* opening the configuration */
    struct fault log;       /* writing to standard error */
    int64_t wall_offset_ns;
};

#define MOST_DESCRIPTORS 4096
static volatile const struct control *control;
static unsigned char opened[MOST_DESCRIPTORS]; /* connections that this process opened */
static uint64_t state = 88172645463325252ull;

__attribute__((constructor)) static void start(void) {
    const char *path = getenv("SOAK_SHIM");
    int file = path ? open(path, O_RDONLY | O_CLOEXEC) : -1;
    if (file < 0)
        return;
    void *map = mmap(NULL, sizeof(struct control), PROT_READ, MAP_SHARED, file, 0);
    close(file);
    if (map != MAP_FAILED)
        control = map;
    state ^= (uint64_t)getpid() << 20;
}

/* Whether a fault strikes now; errno is set then. */
static int strikes(volatile const struct fault *fault) {
    if (!control || fault->rate == 0)
        return 0;
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    if (state % 1000000 >= fault->rate)
        return 0;
    errno = (int)fault->error;
    return 1;
}

#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))
#define CACHED(name)                         \
    static __typeof__(&name) real;           \
    if (!real)                               \
        real = REAL(name)

static int is_opened(int fd) { return fd >= 0 && fd < MOST_DESCRIPTORS && opened[fd]; }

static void mark(int fd, int is) {
    if (fd >= 0 && fd < MOST_DESCRIPTORS)
        opened[fd] = (unsigned char)is;
}

/* A connection breaks for good: its other end sees that, too. */
static int breaks(int fd) {
    if (!is_opened(fd) || !strikes(&control->broken))
        return 0;
    int error = errno;
    shutdown(fd, SHUT_RDWR);
    errno = error;
    return 1;
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    CACHED(accept4);
    if (control && strikes(&control->accept))
        return -1;
    int new = real(fd, address, length, flags);
    mark(new, 0);
    return new;
}

int socket(int domain, int type, int protocol) {
    CACHED(socket);
    if (control && domain == AF_INET && strikes(&control->socket))
        return -1;
    int new = real(domain, type, protocol);
    mark(new, 0);
    return new;
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    CACHED(connect);
    if (control && strikes(&control->connect))
        return -1;
    mark(fd, 1);
    return real(fd, address, length);
}

/* Whether a call is interrupted. Sockets of the process to itself are spared: theirs never wait, so that Linux does not
 * interrupt them, and the runtime's own wake-ups are not what is tested. */
static int interrupted(int fd) {
    int domain;
    socklen_t length = sizeof domain;
    if (control->interrupt.rate == 0 || getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &length) != 0)
        return 0;
    return domain == AF_INET && strikes(&control->interrupt);
}

static size_t shortened(size_t length) {
    return control && length > 1 && strikes(&control->shorten) ? 1 + length / 3 : length;
}

ssize_t recv(int fd, void *buffer, size_t length, int flags) {
    CACHED(recv);
    if (control && (interrupted(fd) || (!(flags & MSG_PEEK) && breaks(fd))))
        return -1;
    return real(fd, buffer, flags & MSG_PEEK ? length : shortened(length), flags);
}

ssize_t send(int fd, const void *buffer, size_t length, int flags) {
    CACHED(send);
    if (control && (interrupted(fd) || breaks(fd)))
        return -1;
    return real(fd, buffer, shortened(length), flags);
}

static int is_socket(int fd) {
    int type;
    socklen_t length = sizeof type;
    return getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &length) == 0;
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    CACHED(writev);
    if (control && fd == STDERR_FILENO && strikes(&control->log))
        return -1;
    if (control && is_socket(fd)) {
        if (interrupted(fd) || breaks(fd))
            return -1;
        if (count > 0 && parts[0].iov_len > 1 && strikes(&control->shorten)) {
            struct iovec part = {parts[0].iov_base, 1 + parts[0].iov_len / 3};
            return real(fd, &part, 1);
        }
    }
    return real(fd, parts, count);
}

ssize_t write(int fd, const void *buffer, size_t length) {
    CACHED(write);
    if (control && fd == STDERR_FILENO && strikes(&control->log))
        return -1;
    return real(fd, buffer, length);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
    CACHED(epoll_wait);
    /* Of the errors of reads and writes this call knows one. */
    if (control && control->interrupt.error == EINTR && strikes(&control->interrupt))
        return -1;
    return real(fd, events, most, timeout);
}

static int is_config(const char *path) {
    const char *config = getenv("LB_CONFIG");
    return config && path && strcmp(config, path) == 0;
}

#define OPEN(name)                                                    \
    int name(const char *path, int flags, ...) {                      \
        CACHED(name);                                                 \
        va_list rest;                                                 \
        va_start(rest, flags);                                        \
        mode_t mode = flags & (O_CREAT | O_TMPFILE) ? va_arg(rest, mode_t) : 0; \
        va_end(rest);                                                 \
        if (control && is_config(path) && strikes(&control->config))  \
            return -1;                                                \
        return real(path, flags, mode);                               \
    }

OPEN(open)
OPEN(open64)

int clock_gettime(clockid_t clock, struct timespec *time) {
    CACHED(clock_gettime);
    int done = real(clock, time);
    if (done == 0 && control && clock == CLOCK_REALTIME) {
        int64_t at = time->tv_sec * 1000000000ll + time->tv_nsec + control->wall_offset_ns;
        time->tv_sec = at / 1000000000ll;
        time->tv_nsec = at % 1000000000ll;
    }
    return done;
}
