package stagepier.lab.scale;

/**
 * Load reports that one router process was sent and has sent so far, IP and UDP headers included; what it sends
 * counts once, as the platform takes it, and not by those that it is passed on to.
 */
record ReportTraffic(long bytesIn, long messagesIn, long bytesOut, long messagesOut) {
    ReportTraffic since(ReportTraffic earlier) {
        return new ReportTraffic(
                bytesIn - earlier.bytesIn,
                messagesIn - earlier.messagesIn,
                bytesOut - earlier.bytesOut,
                messagesOut - earlier.messagesOut);
    }
}
