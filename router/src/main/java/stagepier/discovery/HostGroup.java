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
 * The latest server list of discovery, with the operators' bans applied: a banned server counts as draining, and a
 * restored server as started at the time of its restoration.
 */
public final class HostGroup {
    /** A cache server: its id in the list, its member record for the routing module, and its address. */
    public record Host(String name, Api.Member member, InetSocketAddress address) {}

    /**
     * The changes made by one message of discovery.
     *
     * @param complete whether the message held the whole list
     * @param hosts    the entries of the message
     * @param left     hosts that a whole list no longer names
     */
    public record Change(boolean complete, List<Host> hosts, List<Host> left) {}

    /** Limit of remembered server ids, which would otherwise use memory for every server that was ever listed. */
    private static final int MAX_REMEMBERED_NAMES = 4096;

    private final SettingsParser.Names names;
    private final StartTimes startTimes;
    private final Bans bans = new Bans();
    private final Set<String> everListed = new LinkedHashSet<>();
    private final Map<Long, Host> hosts = new LinkedHashMap<>();
    private long generation = -1;
    /** Null if changes are never held. */
    private Admission admission;

    public HostGroup(SettingsParser.Names names, Clock clock) {
        this.names = names;
        startTimes = new StartTimes(clock);
    }

    /** Returns the version of the list; -1 if there is none yet. */
    public long generation() {
        return generation;
    }

    /**
     * Applies a message completely or not at all.
     *
     * @throws IllegalArgumentException if the message is malformed; the list is then unchanged
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
            throw new IllegalArgumentException("malformed server list: " + e.getMessage(), e);
        }
        listed.replaceAll(this::withLocalStart);
        Map<Long, Host> before = new LinkedHashMap<>(hosts);
        if (admission != null && generation >= 0) {
            listed = filterByAdmission(listed, complete);
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
        List<Host> replaced = removeReplaced(listed);
        replaced.forEach(host -> before.remove(host.member().id()));
        generation = version;
        listed.forEach(host -> rememberName(host.name()));
        return new Change(
                complete,
                Stream.concat(listed.stream(), replaced.stream())
                        .map(this::withBan)
                        .toList(),
                complete ? List.copyOf(before.values()) : List.of());
    }

    /**
     * Removes servers at whose addresses the message lists others that have started later: the new process must not get
     * the requests of the old one while the list still names both. Returns them as gone.
     */
    private List<Host> removeReplaced(List<Host> listed) {
        List<Host> replaced = new ArrayList<>();
        for (Host newer : listed) {
            if (newer.member().state() != Api.MemberState.READY
                    || hosts.get(newer.member().id()) != newer) {
                continue;
            }
            for (Host older : List.copyOf(hosts.values())) {
                if (newer.address().equals(older.address())
                        && older.member().id() != newer.member().id()
                        && older.member().startedAt() < newer.member().startedAt()) {
                    hosts.remove(older.member().id());
                    replaced.add(withStateAndStart(
                            older, Api.MemberState.GONE, older.member().startedAt()));
                }
            }
        }
        return replaced;
    }

    /**
     * Applies a message that discovery has just sent.
     *
     * @throws IllegalArgumentException if the message is malformed; the list is then unchanged
     */
    Change applyFresh(JsonElement message) {
        Change change = apply(message);
        startTimes.recordListReceived();
        return change;
    }

    private Host withLocalStart(Host host) {
        double listed = host.member().startedAt();
        return withStateAndStart(
                host, host.member().state(), startTimes.of(host.member().id(), listed));
    }

    /**
     * Returns whether a message is older than the list held here and must not be applied. Changes up to an older
     * version follow another list than this one: applied, they would bring back removed servers or leave others
     * unknown. A whole list may have an older version if its agent numbers versions differently, unless that agent may
     * only be behind.
     */
    boolean isOutdated(JsonElement message, boolean mayBeBehind) {
        if (message instanceof JsonObject o
                && o.get("generation") instanceof JsonPrimitive version
                && o.get("reset") instanceof JsonPrimitive reset
                && version.isNumber()) {
            return version.getAsLong() < generation && (mayBeBehind || !reset.getAsBoolean());
        }
        return false;
    }

    /**
     * Sets the admission check for voluntary changes. It applies after the first list, which is the initial state of a
     * process.
     */
    public void setAdmission(Admission admits) {
        admission = admits;
    }

    /**
     * Returns the entries in force: without servers whose addition is held, and with the previous entry for servers
     * whose change is held.
     */
    private List<Host> filterByAdmission(List<Host> listed, boolean complete) {
        List<Host> effective = new ArrayList<>();
        Set<String> listedNames = new LinkedHashSet<>();
        for (Host host : listed) {
            listedNames.add(host.name());
            Host old = hosts.get(host.member().id());
            if (host.member().state() != Api.MemberState.READY) {
                admission.overtaken(host.name());
                effective.add(host);
            } else if (admission.admits(old, host)) {
                effective.add(host);
            } else if (old != null && old.member().state() == Api.MemberState.READY) {
                // Keys must not be sent to a process of another name: a server whose address was reassigned counts as
                // draining until its own change may be applied.
                Api.MemberState state = isAddressReused(old, listed) ? Api.MemberState.DRAINING : Api.MemberState.READY;
                effective.add(withStateAndStart(old, state, host.member().startedAt()));
            } else if (old != null) {
                // The server was draining and continues to until its change may be applied.
                effective.add(old);
            }
        }
        if (complete) {
            everListed.stream().filter(name -> !listedNames.contains(name)).forEach(admission::overtaken);
        }
        listedNames.forEach(this::rememberName);
        return effective;
    }

    /** Returns whether another server is listed at the address of this one. */
    private boolean isAddressReused(Host host, List<Host> listed) {
        return Stream.concat(listed.stream(), hosts.values().stream())
                .anyMatch(other -> other.address() != null
                        && other.member().id() != host.member().id()
                        && other.address().equals(host.address()));
    }

    private static Host withStateAndStart(Host host, Api.MemberState state, double startedAt) {
        Api.Member m = host.member();
        return new Host(
                host.name(),
                new Api.Member(m.id(), m.zone(), m.cell(), m.kind(), state, m.weight(), startedAt),
                host.address());
    }

    /** Applies an entry that was held. */
    public Change admit(Host host) {
        hosts.put(host.member().id(), host);
        return new Change(false, List.of(withBan(host)), List.of());
    }

    private void rememberName(String name) {
        everListed.remove(name);
        everListed.add(name);
        if (everListed.size() > MAX_REMEMBERED_NAMES) {
            everListed.remove(everListed.iterator().next());
        }
    }

    /** Returns whether a server of this name was ever listed, or banned by operators when it was. */
    public boolean knows(String name) {
        return everListed.contains(name) || bans.isBanned(name);
    }

    /** Returns the zone of a server in force, by its name; "" if it has no zone or is not in force. */
    public String zone(String server) {
        Host host = hosts.get(Ids.ofServer(server));
        int zone = host == null ? -1 : host.member().zone();
        return zone < 0 ? "" : names.zones().get(zone);
    }

    public Bans bans() {
        return bans;
    }

    /** Applies bans and restorations by operators; the result has the form of a change made by discovery. */
    public Change apply(List<Ban> updates) {
        List<Host> changed = new ArrayList<>();
        for (Ban ban : updates) {
            Host host = hosts.get(Ids.ofServer(ban.server()));
            Host before = host == null ? null : withBan(host);
            if (bans.take(ban) && host != null && !withBan(host).equals(before)) {
                changed.add(withBan(host));
            }
        }
        return new Change(false, changed, List.of());
    }

    /** Returns the host with its ban or restoration applied. */
    private Host withBan(Host host) {
        Api.Member m = host.member();
        if (m.state() != Api.MemberState.READY) {
            return host;
        }
        boolean banned = bans.isBanned(host.name());
        // Operators restart the servers that they take out, and the list may report that start late or never.
        double startedAt = Math.max(m.startedAt(), startTimes.capToNow(bans.restoredAt(host.name())));
        return new Host(
                host.name(),
                new Api.Member(
                        m.id(),
                        m.zone(),
                        m.cell(),
                        m.kind(),
                        banned ? Api.MemberState.DRAINING : m.state(),
                        m.weight(),
                        startedAt),
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
        // A removed server may come without an address.
        return new Host(
                name,
                member,
                state == Api.MemberState.GONE ? null : address(o.get("hostPort").getAsString()));
    }

    private static String text(JsonObject o, String key) {
        return o.has(key) ? o.get(key).getAsString() : "";
    }

    private static double number(JsonObject o, String key, double defaultValue) {
        double value = o.has(key) ? o.get(key).getAsDouble() : defaultValue;
        if (!Double.isFinite(value)) {
            throw new IllegalArgumentException(key + " is not a finite number");
        }
        return value;
    }

    /** Parses a numeric IP address and port. Host names are rejected, because the router does not use DNS. */
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
