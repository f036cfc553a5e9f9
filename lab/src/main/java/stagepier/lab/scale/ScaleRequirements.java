package stagepier.lab.scale;

import java.util.ArrayList;
import java.util.List;

/**
 * What a scale run needs at its largest size, estimated from above before anything is started.
 *
 * @param memory      bytes, of all processes together
 * @param processes   the laboratory's own among them
 * @param descriptors of the laboratory's process
 * @param ports       of one loopback address
 */
record ScaleRequirements(long memory, int processes, int descriptors, int ports) {
    /** Bounds that no scale run may pass, whatever the machine has. */
    static final long MEMORY_MOST = 12L << 30;

    static final int PROCESSES_MOST = 300;

    /**
     * The options of a deployment bound heap, code, classes and buffers of a router to 144 MB; stacks and the program
     * come on top.
     */
    private static final long MEMORY_OF_PROCESS = 192L << 20;

    private static final long MEMORY_OF_LAB = 1024L << 20;
    private static final long MEMORY_OF_HOLLOW = 32L << 10;
    /** Sockets at each stand-in of a cache server for one router: one listens, up to four are links. */
    private static final int SOCKETS_OF_SERVER = 5;
    /** Sockets of clients of one router at the most that the stated load opens, and of all else in the laboratory. */
    private static final int SOCKETS_OF_CLIENTS = 400;

    private static final int DESCRIPTORS_OF_LAB = 300;
    private static final int MEGABYTE = 1 << 20;

    static ScaleRequirements of(ScalePlan plan) {
        int hollow = Math.max(0, plan.largest() - plan.real());
        int sockets = plan.real() * (SOCKETS_OF_SERVER * StatedLoad.CACHE_SERVERS + SOCKETS_OF_CLIENTS);
        return new ScaleRequirements(
                MEMORY_OF_LAB + plan.real() * MEMORY_OF_PROCESS + hollow * MEMORY_OF_HOLLOW,
                plan.real() + 1,
                sockets + plan.largest() + DESCRIPTORS_OF_LAB,
                sockets);
    }

    /** @throws PlanTooLargeException with one line that names all that it would pass */
    void check(MachineResources room) throws PlanTooLargeException {
        List<String> passed = new ArrayList<>();
        note(passed, memory / MEGABYTE, Math.min(MEMORY_MOST, room.memory()) / MEGABYTE, "MB of memory");
        note(passed, processes, PROCESSES_MOST, "processes");
        note(passed, descriptors, room.descriptors(), "descriptors");
        note(passed, ports, room.ports(), "ports");
        if (!passed.isEmpty()) {
            throw new PlanTooLargeException("too large for this machine: " + String.join(", ", passed));
        }
    }

    private static void note(List<String> passed, long needed, long most, String what) {
        if (needed > most) {
            passed.add("%d %s needed, %d at the most".formatted(needed, what, most));
        }
    }
}
