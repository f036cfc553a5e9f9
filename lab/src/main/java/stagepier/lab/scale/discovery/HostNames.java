package stagepier.lab.scale.discovery;

import stagepier.lab.standin.DiscoveryService;
import stagepier.lab.standin.HostList;

/** The cache servers of a scale run: nobody listens where they are said to be. */
final class HostNames {
    private static final int ZONES = 37;
    private static final int FIRST_ID = 0x10000000;
    private static final int FIRST_HOST = 10;
    private static final int PORT = 11211;
    private static final int PER_NET = 200;
    private static final long DISTANT_START_MS = 1_700_000_000_000L;

    private HostNames() {}

    /** So many that are up, each a version of the list. */
    static void publishAll(DiscoveryService service, int servers) {
        for (int i = 0; i < servers; i++) {
            service.publish(entry(i, "up"));
        }
    }

    static HostList.Entry draining(int number) {
        return entry(number, "draining");
    }

    private static HostList.Entry entry(int number, String lifecycle) {
        String address = "10.100.%d.%d:%d".formatted(number / PER_NET, number % PER_NET + FIRST_HOST, PORT);
        return new HostList.Entry(
                "s-%08x".formatted(FIRST_ID + number),
                number,
                address,
                "zone-%02d".formatted(number % ZONES),
                lifecycle,
                DISTANT_START_MS);
    }
}
