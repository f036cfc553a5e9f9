package stagepier.lab.scenario;

import java.util.List;
import stagepier.lab.nemesis.TimedFault;

/**
 * One thing that goes wrong, by script.
 *
 * @param at     seconds after the start of the load
 * @param lasts  seconds until it is over; 0 where it has no end of its own
 * @param nodes  numbers of the cache nodes or routers that it befalls; empty where {@code part} says how many
 * @param part   part of all nodes or routers, chosen by the seed
 * @param factor how much: a slowness, a part of answers
 */
public record Fault(Kind kind, double at, double lasts, List<Integer> nodes, double part, double factor)
        implements TimedFault {
    /** Kinds of faults: what befalls cache nodes, then discovery, then routers. */
    public enum Kind {
        /** The process dies: connections reset, new ones refused; it comes back cold. */
        CRASH,
        /** The machine goes silent: no reset, connects hang; it comes back cold. */
        VANISH,
        /** It takes work and answers nothing. */
        HANG,
        /** All work takes {@code factor} times as long. */
        SLOW,
        /** It turns all away as busy. */
        FULL,
        /** A part of its answers ends in a reset in the middle. */
        RESET,
        /** A part of its answers stops in the middle, the connection stays. */
        HALF,
        /** A part of its answers comes spoilt. */
        SPOIL,
        /** It drains, ends, and another under a new id takes its address. */
        REPLACE,
        /** It drains and is gone until the end of the fault. */
        DRAIN,
        /** A shadow's copies are answered wrongly. */
        COPY_SPOIL,
        /** A shadow's copies are answered {@code factor} seconds late. */
        COPY_SLOW,
        /** A part of its connections falls silent, while the others go on. */
        MUTE,
        /** Discovery says nothing. */
        DISCOVERY_DOWN,
        /** Routers are killed outright and started again with their last list. */
        ROUTER_KILL,
        /** Routers are told to end, and started again. */
        ROUTER_RESTART,
        /** Routers are told to read their configuration again. */
        ROUTER_RELOAD,
        /** A router's process stands still (SIGSTOP), and goes on (SIGCONT) as if nothing had been. */
        ROUTER_STALL,
        /** Staff send a router's clients away, to the next router, and let them come again. */
        ROUTER_PAUSE,
        /** A new process is started beside a router's under load, and the old one told to end. */
        ROUTER_UPGRADE,
        /** Staff take nodes out at every router; these are restarted meanwhile, and put back, cold. */
        SUSPEND;

        public boolean isOfRouters() {
            return name().startsWith("ROUTER_");
        }

        /** Whether it is staff at the routers' consoles who bring it about. */
        public boolean isByStaff() {
            return this == ROUTER_PAUSE || this == ROUTER_UPGRADE || this == SUSPEND;
        }
    }
}
