package stagepier.lab.nemesis;

/** A fault that is brought about by script at one time of a run and is over at another. */
public interface TimedFault {
    /** Seconds after the start of the load. */
    double at();

    /** Seconds until it is over; 0 where it has no end of its own. */
    double lasts();
}
