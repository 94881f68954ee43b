/*
 * Preload library: adds an offset to the wall clock of the process that loads it.
 *
 * CEDARLEDGE_WALL_CLOCK names a file with the offset in nanoseconds, a 64-bit integer in native byte order. The
 * file is mapped into memory, so writing to it steps the clock of every process that has mapped it at once.
 * CLOCK_MONOTONIC is unchanged, and so are waits, which Linux measures by it unless a program asks for an
 * absolute wall clock time.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

static const int64_t NANOSECONDS = 1000000000;
static const volatile int64_t *offset;

__attribute__((constructor)) static void map_offset(void)
{
    const char *path = getenv("CEDARLEDGE_WALL_CLOCK");
    if (path == NULL)
        return;
    int file = open(path, O_RDONLY | O_CLOEXEC);
    if (file < 0)
        return;
    void *mapped = mmap(NULL, sizeof *offset, PROT_READ, MAP_SHARED, file, 0);
    if (mapped != MAP_FAILED)
        offset = mapped;
    close(file);
}

int clock_gettime(clockid_t clock, struct timespec *now)
{
    static int (*system_clock_gettime)(clockid_t, struct timespec *);
    if (system_clock_gettime == NULL)
        system_clock_gettime = dlsym(RTLD_NEXT, "clock_gettime");
    int result = system_clock_gettime(clock, now);
    if (result == 0 && offset != NULL && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t shifted = now->tv_sec * NANOSECONDS + now->tv_nsec + *offset;
        now->tv_sec = shifted / NANOSECONDS;
        now->tv_nsec = shifted % NANOSECONDS;
    }
    return result;
}

int gettimeofday(struct timeval *restrict now, void *restrict zone)
{
    struct timespec time;
    (void)zone;
    if (clock_gettime(CLOCK_REALTIME, &time) != 0)
        return -1;
    now->tv_sec = time.tv_sec;
    now->tv_usec = time.tv_nsec / 1000;
    return 0;
}

time_t time(time_t *stored)
{
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (stored != NULL)
        *stored = now.tv_sec;
    return now.tv_sec;
}
