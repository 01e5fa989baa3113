/* Preloaded into a dispatcher: makes system calls fail and steps the wall clock, as a shared page says.
 *
 * The page (struct control) is mapped from the file that YEWRILL_SHIM names; the soak test writes it while the
 * process runs. A rule applies to one system call, and may be limited to accepted or to connected sockets.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/types.h>
#include <time.h>
#include <unistd.h>

enum call { ACCEPT = 1, RECV, SEND, CONNECT, SOCKET, PWRITE, SYNC };
enum origin { ANY = 0, ACCEPTED = 1, CONNECTED = 2 };

#define MAX_RULES 8
#define MAX_DESCRIPTORS 65536

struct rule {
    int32_t call, origin;
    int32_t error;      /* errno, 0: none */
    int32_t max_bytes;  /* that the call transfers, 0: no limit */
    int32_t slow_ms;    /* delay before the call */
    uint32_t chance;    /* probability times 2^32 */
    uint64_t hits;
};

struct control {
    int64_t wall_offset_ns;
    int32_t rule_count, unused;
    struct rule rules[MAX_RULES];
};

static struct control *control;
static unsigned char origins[MAX_DESCRIPTORS];
static uint64_t random_state = 88172645463325252ULL;

#define REAL(name) ((__typeof__(&name))real(#name))

static void *real(const char *name) { return dlsym(RTLD_NEXT, name); }

__attribute__((constructor)) static void map_control_page(void) {
    const char *path = getenv("YEWRILL_SHIM");
    int fd = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
    if (fd < 0) return;
    void *page = mmap(NULL, sizeof *control, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    if (page != MAP_FAILED) control = page;
    close(fd);
    random_state ^= (uint64_t)getpid() << 17;
}

static uint32_t next_random(void) {
    random_state ^= random_state << 13;
    random_state ^= random_state >> 7;
    random_state ^= random_state << 17;
    return (uint32_t)(random_state >> 16);
}

/* Returns the rule that applies to this call, after its delay, or NULL. */
static struct rule *matching_rule(enum call call, int fd) {
    if (!control) return NULL;
    int origin = fd >= 0 && fd < MAX_DESCRIPTORS ? origins[fd] : ANY;
    for (int i = 0; i < control->rule_count && i < MAX_RULES; i++) {
        struct rule *rule = &control->rules[i];
        if (rule->call != (int32_t)call || (rule->origin != ANY && rule->origin != origin)) continue;
        if (next_random() > rule->chance) continue;
        rule->hits++;
        if (rule->slow_ms > 0) {
            struct timespec span = {rule->slow_ms / 1000, rule->slow_ms % 1000 * 1000000L};
            nanosleep(&span, NULL);
        }
        return rule;
    }
    return NULL;
}

static size_t limited(const struct rule *rule, size_t size) {
    return rule && rule->max_bytes > 0 && size > (size_t)rule->max_bytes ? (size_t)rule->max_bytes : size;
}

#define APPLY_RULE(call, fd) \
    struct rule *rule = matching_rule(call, fd); \
    if (rule && rule->error) { errno = rule->error; return -1; }

static void record_origin(int fd, enum origin origin) {
    if (fd >= 0 && fd < MAX_DESCRIPTORS) origins[fd] = origin;
}

int accept4(int fd, struct sockaddr *address, socklen_t *size, int flags) {
    APPLY_RULE(ACCEPT, -1)
    int found = REAL(accept4)(fd, address, size, flags);
    record_origin(found, ACCEPTED);
    return found;
}

int socket(int domain, int type, int protocol) {
    if (domain == AF_INET && (type & 0xf) == SOCK_STREAM) {
        APPLY_RULE(SOCKET, -1)
    }
    int found = REAL(socket)(domain, type, protocol);
    record_origin(found, ANY);
    return found;
}

int connect(int fd, const struct sockaddr *address, socklen_t size) {
    if (address->sa_family == AF_INET) {
        APPLY_RULE(CONNECT, -1)
    }
    record_origin(fd, address->sa_family == AF_INET ? CONNECTED : ANY);
    return REAL(connect)(fd, address, size);
}

ssize_t recv(int fd, void *buffer, size_t size, int flags) {
    if (origins[fd & (MAX_DESCRIPTORS - 1)] == ANY) return REAL(recv)(fd, buffer, size, flags);
    APPLY_RULE(RECV, fd)
    return REAL(recv)(fd, buffer, limited(rule, size), flags);
}

ssize_t send(int fd, const void *buffer, size_t size, int flags) {
    if (origins[fd & (MAX_DESCRIPTORS - 1)] == ANY) return REAL(send)(fd, buffer, size, flags);
    APPLY_RULE(SEND, fd)
    return REAL(send)(fd, buffer, limited(rule, size), flags);
}

ssize_t pwrite64(int fd, const void *buffer, size_t size, off_t offset) {
    APPLY_RULE(PWRITE, -1)
    return REAL(pwrite64)(fd, buffer, limited(rule, size), offset);
}

ssize_t pwrite(int fd, const void *buffer, size_t size, off_t offset) {
    APPLY_RULE(PWRITE, -1)
    return REAL(pwrite)(fd, buffer, limited(rule, size), offset);
}

int fdatasync(int fd) {
    APPLY_RULE(SYNC, -1)
    return REAL(fdatasync)(fd);
}

int fsync(int fd) {
    APPLY_RULE(SYNC, -1)
    return REAL(fsync)(fd);
}

int clock_gettime(clockid_t clock, struct timespec *at) {
    int found = REAL(clock_gettime)(clock, at);
    if (!found && control && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t ns = at->tv_sec * 1000000000LL + at->tv_nsec + control->wall_offset_ns;
        at->tv_sec = ns / 1000000000LL;
        at->tv_nsec = ns % 1000000000LL;
    }
    return found;
}

int gettimeofday(struct timeval *at, void *zone) {
    (void)zone;
    struct timespec now;
    if (clock_gettime(CLOCK_REALTIME, &now)) return -1;
    at->tv_sec = now.tv_sec;
    at->tv_usec = now.tv_nsec / 1000;
    return 0;
}

time_t time(time_t *at) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (at) *at = now.tv_sec;
    return now.tv_sec;
}
