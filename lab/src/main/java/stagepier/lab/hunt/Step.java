package stagepier.lab.hunt;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import stagepier.lab.nemesis.LinkFault;
import stagepier.lab.nemesis.TimedFault;
import stagepier.lab.scenario.Fault;

/** One fault of a schedule. */
public sealed interface Step {
    /** What it brings about. */
    TimedFault fault();

    /** Seconds after the start of the load. */
    default double at() {
        return fault().at();
    }

    /** Seconds until it is over. */
    default double lasts() {
        return fault().lasts();
    }

    /** The same at another time. */
    Step with(double at, double lasts);

    /** As a scenario file has it. */
    String toml();

    /** What befalls routers themselves. */
    record OfRouters(Fault fault) implements Step {
        @Override
        public Step with(double at, double lasts) {
            return new OfRouters(new Fault(fault.kind(), at, lasts, fault.nodes(), fault.part(), fault.factor()));
        }

        @Override
        public String toml() {
            return "%n[[fault]]%nkind = \"%s\"%nat_s = %s%nlasts_s = %s%nrouters = %s%n"
                    .formatted(fault.kind().name().toLowerCase(Locale.ROOT), fault.at(), fault.lasts(), fault.nodes());
        }
    }

    /** What lies between processes. */
    record OfLinks(LinkFault fault) implements Step {
        @Override
        public Step with(double at, double lasts) {
            return new OfLinks(new LinkFault(
                    fault.shape(),
                    at,
                    lasts,
                    fault.a(),
                    fault.b(),
                    fault.via(),
                    fault.links(),
                    fault.part(),
                    fault.delay(),
                    fault.jitter(),
                    fault.period()));
        }

        @Override
        public String toml() {
            String links = fault.links().stream()
                    .sorted()
                    .map(l -> "\"" + l.name().toLowerCase(Locale.ROOT) + "\"")
                    .collect(Collectors.joining(", "));
            return ("%n[[link_fault]]%nshape = \"%s\"%nat_s = %s%nlasts_s = %s%na = %s%n%s%slinks = [%s]%npart = %s%n"
                            + "delay_ms = %s%njitter_ms = %s%nperiod_s = %s%n")
                    .formatted(
                            fault.shape().name().toLowerCase(Locale.ROOT),
                            fault.at(),
                            fault.lasts(),
                            fault.a(),
                            list("b", fault.b()),
                            list("via", fault.via()),
                            links,
                            fault.part(),
                            fault.delay() * 1e3,
                            fault.jitter() * 1e3,
                            fault.period());
        }

        private static String list(String key, List<Integer> routers) {
            return routers.isEmpty() ? "" : "%s = %s%n".formatted(key, routers);
        }
    }
}
