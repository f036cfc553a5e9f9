package stagepier.discovery;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonPrimitive;
import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import stagepier.Api;
import stagepier.bans.Ban;
import stagepier.bans.Bans;
import stagepier.exchange.Clock;
import stagepier.exchange.Ids;
import stagepier.settings.SettingsParser;

/**
 * Discovery's list of cache servers as this router last had it, with what staff said of them applied: whoever is out counts
 * as one that drains, whoever was put back as one that started then.
 */
public final class HostGroup {
    /** A cache server: its id on the list, as the module knows it, and where it is. */
    public record Host(String name, Api.Member member, InetSocketAddress address) {}

    /**
     * What one message of discovery changed.
     *
     * @param complete the message held the whole list
     * @param hosts    the entries of the message
     * @param left     hosts that a whole list no longer names
     */
    public record Change(boolean complete, List<Host> hosts, List<Host> left) {}

    /** Ids that were ever listed are remembered up to this many. Guards against memory that grows with every new server. */
    private static final int NAMES_MOST = 4096;

    private final SettingsParser.Names names;
    private final StartTimes startTimes;
    private final Bans bans = new Bans();
    private final Set<String> everListed = new LinkedHashSet<>();
    private final Map<Long, Host> hosts = new LinkedHashMap<>();
    private long generation = -1;
    /** Null where nothing is ever held. */
    private Admission admission;

    public HostGroup(SettingsParser.Names names, Clock clock) {
        this.names = names;
        startTimes = new StartTimes(clock);
    }

    /** Version of the list; -1 where there is none yet. */
    public long generation() {
        return generation;
    }

    /**
     * Takes a message, whole or not at all.
     *
     * @throws IllegalArgumentException where it makes no sense; the list is then as before
     */
    public Change apply(JsonElement message) {
        List<Host> listed = new ArrayList<>();
        boolean complete;
        long version;
        try {
            JsonObject o = message.getAsJsonObject();
            version = o.get("generation").getAsLong();
            complete = o.get("reset").getAsBoolean();
            JsonArray entries = o.getAsJsonArray("instances");
            for (JsonElement e : entries) {
                listed.add(host(e.getAsJsonObject()));
            }
        } catch (NullPointerException
                | ClassCastException
                | IllegalStateException
                | UnsupportedOperationException
                | NumberFormatException e) {
            throw new IllegalArgumentException("not a host group: " + e.getMessage(), e);
        }
        listed.replaceAll(this::withOwnStart);
        Map<Long, Host> before = new LinkedHashMap<>(hosts);
        if (admission != null && generation >= 0) {
            listed = admitted(listed, complete);
        }
        if (complete) {
            hosts.clear();
        }
        for (Host host : listed) {
            before.remove(host.member().id());
            if (host.member().state() == Api.MemberState.GONE) {
                hosts.remove(host.member().id());
            } else {
                hosts.put(host.member().id(), host);
            }
        }
        generation = version;
        listed.forEach(host -> remember(host.name()));
        return new Change(
                complete,
                listed.stream().map(this::counted).toList(),
                complete ? List.copyOf(before.values()) : List.of());
    }

    /**
     * Takes a message that discovery has just sent.
     *
     * @throws IllegalArgumentException where it makes no sense; the list is then as before
     */
    Change applyFresh(JsonElement message) {
        Change change = apply(message);
        startTimes.listTaken();
        return change;
    }

    private Host withOwnStart(Host host) {
        double listed = host.member().startedAt();
        return as(host, host.member().state(), startTimes.of(host.member().id(), listed));
    }

    /**
     * Whether a message is older than the list here, so that it must not be taken. Changes up to an older version follow on
     * another list than this one: taken, they would bring back servers or leave others unknown. A whole list may be older
     * where its agent counts otherwise, unless that agent may only be behind.
     */
    boolean goesBack(JsonElement message, boolean mayBeBehind) {
        if (message instanceof JsonObject o
                && o.get("generation") instanceof JsonPrimitive version
                && o.get("reset") instanceof JsonPrimitive reset
                && version.isNumber()) {
            return version.getAsLong() < generation && (mayBeBehind || !reset.getAsBoolean());
        }
        return false;
    }

    /** Before the first list: from then on voluntary changes are asked about. The first list is what a process begins with. */
    public void setAdmission(Admission admits) {
        admission = admits;
    }

    /** The entries as they count: without servers whose addition is held, others as before where a change of theirs is. */
    private List<Host> admitted(List<Host> listed, boolean complete) {
        List<Host> counts = new ArrayList<>();
        Set<String> named = new LinkedHashSet<>();
        for (Host host : listed) {
            named.add(host.name());
            Host old = hosts.get(host.member().id());
            if (host.member().state() != Api.MemberState.READY) {
                admission.overtaken(host.name());
                counts.add(host);
            } else if (admission.admits(old, host)) {
                counts.add(host);
            } else if (old != null && old.member().state() == Api.MemberState.READY) {
                // Keys must not be sent to a process of another name: who lost its address to another server drains
                // until it may move.
                Api.MemberState state = isTaken(old, listed) ? Api.MemberState.DRAINING : Api.MemberState.READY;
                counts.add(as(old, state, host.member().startedAt()));
            } else if (old != null) {
                // It drained, and goes on counting so until it may be taken up again.
                counts.add(old);
            }
        }
        if (complete) {
            everListed.stream().filter(name -> !named.contains(name)).forEach(admission::overtaken);
        }
        named.forEach(this::remember);
        return counts;
    }

    /** Whether another server is listed at the address of this one. */
    private boolean isTaken(Host host, List<Host> listed) {
        return Stream.concat(listed.stream(), hosts.values().stream())
                .anyMatch(other -> other.address() != null
                        && other.member().id() != host.member().id()
                        && other.address().equals(host.address()));
    }

    private static Host as(Host host, Api.MemberState state, double startedAt) {
        Api.Member m = host.member();
        return new Host(
                host.name(),
                new Api.Member(m.id(), m.zone(), m.cell(), m.kind(), state, m.weight(), startedAt),
                host.address());
    }

    /** Takes up an entry that was held. */
    public Change admit(Host host) {
        hosts.put(host.member().id(), host);
        return new Change(false, List.of(counted(host)), List.of());
    }

    private void remember(String name) {
        everListed.remove(name);
        everListed.add(name);
        if (everListed.size() > NAMES_MOST) {
            everListed.remove(everListed.iterator().next());
        }
    }

    /** Whether there ever was such a server on the list, or staff took it out when there was. */
    public boolean knows(String name) {
        return everListed.contains(name) || bans.isBanned(name);
    }

    /** The zone of a server that counts, by its name; "" where it has none or is none of them. */
    public String zone(String server) {
        Host host = hosts.get(Ids.ofServer(server));
        int zone = host == null ? -1 : host.member().zone();
        return zone < 0 ? "" : names.zones().get(zone);
    }

    public Bans bans() {
        return bans;
    }

    /** Takes what staff said of servers; what that changes of the list is as if discovery had told it. */
    public Change apply(List<Ban> said) {
        List<Host> changed = new ArrayList<>();
        for (Ban ban : said) {
            Host host = hosts.get(Ids.ofServer(ban.server()));
            if (bans.take(ban) && host != null) {
                changed.add(counted(host));
            }
        }
        return new Change(false, changed, List.of());
    }

    /** The host as it counts. */
    private Host counted(Host host) {
        Api.Member m = host.member();
        if (m.state() != Api.MemberState.READY) {
            return host;
        }
        boolean out = bans.isBanned(host.name());
        // Staff restart what they take out. Guards against a list that tells that late or never.
        double started = Math.max(m.startedAt(), startTimes.notInFuture(bans.backSince(host.name())));
        return new Host(
                host.name(),
                new Api.Member(
                        m.id(),
                        m.zone(),
                        m.cell(),
                        m.kind(),
                        out ? Api.MemberState.DRAINING : m.state(),
                        m.weight(),
                        started),
                host.address());
    }

    private Host host(JsonObject o) {
        Api.MemberState state = switch (o.get("lifecycle").getAsString()) {
            case "up" -> Api.MemberState.READY;
            case "draining" -> Api.MemberState.DRAINING;
            case "removed" -> Api.MemberState.GONE;
            default -> throw new IllegalArgumentException("unknown lifecycle " + o.get("lifecycle"));
        };
        String name = o.get("instanceId").getAsString();
        Api.Member member = new Api.Member(
                Ids.ofServer(name),
                names.zones().indexOf(text(o, "zone")),
                (int) number(o, "cell", 0),
                Math.max(0, names.kinds().indexOf(text(o, "machineType"))),
                state,
                number(o, "weight", 1),
                number(o, "startedAtMs", 0) / 1e3);
        // One that is removed need not tell where it was.
        return new Host(
                name,
                member,
                state == Api.MemberState.GONE ? null : address(o.get("hostPort").getAsString()));
    }

    private static String text(JsonObject o, String key) {
        return o.has(key) ? o.get(key).getAsString() : "";
    }

    private static double number(JsonObject o, String key, double absent) {
        double value = o.has(key) ? o.get(key).getAsDouble() : absent;
        if (!Double.isFinite(value)) {
            throw new IllegalArgumentException(key + " is not a finite number");
        }
        return value;
    }

    /** An address and port in figures; names are refused, for there is no DNS. */
    public static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        byte[] ip = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        try {
            if (ip != null) {
                return new InetSocketAddress(InetAddress.getByAddress(ip), Integer.parseInt(text.substring(colon + 1)));
            }
        } catch (UnknownHostException | IllegalArgumentException e) {
            throw new IllegalArgumentException("'" + text + "' is not an address and a port", e);
        }
        throw new IllegalArgumentException("'" + text + "' is not an address and a port");
    }
}
