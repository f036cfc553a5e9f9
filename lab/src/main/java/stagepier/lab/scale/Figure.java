package stagepier.lab.scale;

/** What is measured at one size of the fleet, with the unit in which it is written down. */
public enum Figure {
    /** Payload and UDP or TCP and IP headers that a router receives. */
    BYTES_IN("B/s"),
    /** Payload and headers that a router sends. */
    BYTES_OUT("B/s"),
    /** Messages that a router receives. */
    MESSAGES_IN("1/s"),
    /** Messages that a router sends. */
    MESSAGES_OUT("1/s"),
    /** Processor time, as a part of one core. */
    PROCESSOR("cores"),
    /** Heap in use, the least of several readings in a span: what is garbage at that moment counts, an upper bound. */
    HEAP("B"),
    /** Resident memory. */
    RESIDENT("B"),
    /** Threads. */
    THREADS("count"),
    /** Open file descriptors. */
    DESCRIPTORS("count"),
    /** From a change at discovery until it is in force at every router. */
    CHANGE_IN_FORCE("s"),
    /** From a change at discovery until the last of the router processes of a run has it in force. */
    CHANGE_IN_FORCE_AT_PROCESSES("s"),
    /** Bytes that discovery sends for one change, to all routers together. */
    CHANGE_BYTES("B"),
    /** Bytes that discovery sends for its return after an outage, to all routers together. */
    RETURN_BYTES("B"),
    /** From the return of discovery until every router has the list. */
    RETURN_IN_FORCE("s"),
    /** Calls that all routers together make from the return of discovery until every one has the list. */
    RETURN_CALLS("count"),
    /** Connections that they open for that. */
    RETURN_CONNECTIONS("count"),
    /** Routers that did not have the list by the end of the wait for it. */
    RETURN_NOT_CURRENT("count"),
    /** The same five of a return at which discovery has lost its history and sends whole lists. */
    RETURN_WHOLE_BYTES("B"),
    RETURN_WHOLE_IN_FORCE("s"),
    RETURN_WHOLE_CALLS("count"),
    RETURN_WHOLE_CONNECTIONS("count"),
    RETURN_WHOLE_NOT_CURRENT("count"),
    /** Connections that a router opens in an outage of discovery, once it has noticed. */
    OUTAGE_CONNECTIONS("1/s"),
    /** Calls and connections of a router that fail while nothing is out of order. */
    CALM_FAILURES("1/s"),
    /** Routers that did not have a change by the end of the wait for it. */
    CHANGE_NOT_CURRENT("count"),
    /** Requests that a router answers with a value. */
    REQUESTS_ANSWERED("1/s"),
    /** The same for each core that the process takes, with all of its threads. */
    REQUESTS_ANSWERED_PER_CORE("1/s"),
    /** Bytes of values, without what frames them, that a router answers with. */
    VALUE_BYTES_ANSWERED("B/s"),
    /** The same for each core that the process takes, with all of its threads. */
    VALUE_BYTES_ANSWERED_PER_CORE("B/s"),
    /** Requests that a router refuses or that end without a value. */
    REQUESTS_NOT_ANSWERED("1/s"),
    /** Processor time of the event loop and of the collector, for which it stands still, as a part of one core. */
    EVENT_LOOP("cores");

    private final String unit;

    Figure(String unit) {
        this.unit = unit;
    }

    public String unit() {
        return unit;
    }
}
