package gatefront.agent;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import gatefront.config.Config;
import gatefront.config.EndpointJson;
import gatefront.membership.Endpoint;
import gatefront.membership.ServerBans;
import gatefront.persistence.RecoveryStore;
import gatefront.persistence.StoredState;
import gatefront.policy.Balancer.ListKind;
import gatefront.policy.Balancer.Phase;
import gatefront.recovery.Recovery;
import gatefront.recovery.RestoredState;
import gatefront.recovery.StateKind;
import gatefront.recovery.StateSource;
import gatefront.recovery.TrustLevel;
import gatefront.recovery.ValidationResult;
import gatefront.transport.Transport;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * What an agent knows again after its death: judges what was kept, lays it over what it starts with, and keeps what
 * comes. Runs on the agent's loop, but for {@link #open}; state: the list as last told, bounded as that is, and the
 * calls by hand as last handed over.
 */
final class StateRecovery {
    /** The list is kept no more often than this. */
    private static final long LIST_MS = 2_000;

    private final Transport transport;
    private final RecoverySettings table;
    private final Recovery recovery;
    private final RecoveryStore keeper;
    private final StoredState kept;
    private final Map<String, Endpoint> listed = new LinkedHashMap<>();
    private final Map<String, ServerBans.Entry> handedOver = new HashMap<>();
    private Config config;
    private ValidationResult bans;
    private boolean listChanged;
    private boolean writesFail;

    private StateRecovery(Transport transport, RecoverySettings table, Config config) {
        this.transport = transport;
        this.table = table;
        this.config = config;
        this.recovery = new Recovery(table.instance(), table.bounds(), transport.wallMicros());
        RecoveryStore.Opened opened =
                RecoveryStore.open(table.folder(), table.instance(), transport.loop(), transport::wallMicros);
        keeper = opened.store();
        kept = opened.restored();
        recovery.storeOpened(opened.status(), opened.detail(), transport.wallMicros());
        if (kept.instance() != null) {
            bans = recovery.validate(
                    new RestoredState(
                            StateKind.BANS,
                            StateSource.STORE,
                            kept.instance(),
                            kept.writtenUntilMicros(),
                            opened.status() == Recovery.StoreStatus.DAMAGED),
                    transport.wallMicros());
        }
        say();
    }

    /** Looks at what was kept; blocks for a moment. */
    static StateRecovery open(Transport transport, RecoverySettings table, Config config) {
        return new StateRecovery(transport, table, config);
    }

    /** Whether a rehearsal has left a guard on. */
    boolean guards(RecoverySettings.Guard guard) {
        return !table.without().contains(guard);
    }

    void start() {
        transport
                .loop()
                .scheduleWithFixedDelay(
                        keeper::saveAliveMark, table.markMicros(), table.markMicros(), TimeUnit.MICROSECONDS);
        transport.loop().scheduleWithFixedDelay(this::keepList, LIST_MS, LIST_MS, TimeUnit.MILLISECONDS);
    }

    /** What staff did by hand before, as far as it may be believed; what is doubted stays out. */
    Map<String, ServerBans.Entry> bans() {
        if (bans == null || bans.trust() == TrustLevel.DISCARDED || !guards(RecoverySettings.Guard.KEPT_BANS)) {
            return Map.of();
        }
        handedOver.putAll(kept.bans());
        return kept.bans();
    }

    /** The list to start with: the platform's, or the one that was kept, where that is newer and may be believed. */
    JsonNode known(JsonNode configured) {
        long now = transport.wallMicros();
        JsonNode own = null;
        if (kept.serverList() != null) {
            boolean read = true;
            try {
                own = Config.parseJson(new ByteArrayInputStream(kept.serverList()));
            } catch (IOException e) {
                read = false;
            }
            ValidationResult finding = recovery.validate(
                    new RestoredState(
                            StateKind.SERVER_LIST, StateSource.STORE, kept.instance(), kept.serverListMicros(), !read),
                    now);
            own = finding.trust() == TrustLevel.DISCARDED ? null : own;
        }
        if (own == null && configured.path("endpoints").size() > 0) {
            recovery.validate(
                    new RestoredState(StateKind.SERVER_LIST, StateSource.CONFIGURATION, null, -1, false), now);
        }
        say();
        return own == null ? configured : own;
    }

    /** The list has changed. */
    void told(ListKind kind, List<Endpoint> endpoints) {
        if (kind == ListKind.CACHED || kind == ListKind.FAILED) {
            return;
        }
        if (kind == ListKind.FULL) {
            listed.clear();
            recovery.serverListReceived(transport.wallMicros());
            say();
        }
        for (Endpoint each : endpoints) {
            if (each.server().phase() == Phase.GONE) {
                listed.remove(each.name());
            } else {
                listed.put(each.name(), each);
            }
        }
        listChanged = true;
    }

    private void keepList() {
        if (listChanged) {
            listChanged = false;
            ArrayNode endpoints = JsonNodeFactory.instance.arrayNode();
            listed.values().forEach(each -> endpoints.add(EndpointJson.encode(each, config)));
            keeper.saveServerList(
                    transport.wallMicros(),
                    JsonNodeFactory.instance
                            .objectNode()
                            .put("index", 0)
                            .put("snapshot", true)
                            .set("endpoints", endpoints)
                            .toString()
                            .getBytes(StandardCharsets.UTF_8));
        }
    }

    /** A file of settings has been taken. */
    void changed(Config to) {
        config = to;
    }

    /** The agent takes callers. */
    void serves() {
        recovery.servingStarted(transport.wallMicros());
        say();
    }

    /**
     * Keeps calls by hand as they are now.
     *
     * @param then is told whether all of them are kept, once that is known
     */
    void keep(Map<String, ServerBans.Entry> entries, Consumer<Boolean> then) {
        int[] out = {1};
        boolean[] all = {true};
        Consumer<IOException> told = fault -> {
            all[0] &= fault == null;
            fault(fault);
            if (--out[0] == 0) {
                then.accept(all[0]);
            }
        };
        handedOver.keySet().stream()
                .filter(each -> !entries.containsKey(each))
                .toList()
                .forEach(each -> {
                    handedOver.remove(each);
                    keeper.saveBan(each, null, fault -> {});
                });
        entries.forEach((name, entry) -> {
            if (!entry.equals(handedOver.put(name, entry))) {
                out[0]++;
                keeper.saveBan(name, entry, told);
            }
        });
        told.accept(null);
    }

    private void fault(IOException fault) {
        if (fault != null && !writesFail) {
            transport.log("recovery: not kept, a restart would forget it: " + fault.getMessage());
        }
        writesFail = fault != null;
    }

    /** What staff see of it. */
    Map<String, String> words() {
        Map<String, String> words = new LinkedHashMap<>();
        boolean lost = recovery.stateLost() && guards(RecoverySettings.Guard.NAMED_LOSS);
        words.put(
                "recovery", lost || !recovery.stateLost() ? recovery.stage().label() : Recovery.Stage.COMPLETE.label());
        words.put("recovery_lost", lost ? "1" : "0");
        words.put("recovery_for_ms", String.valueOf((transport.wallMicros() - recovery.stageSinceMicros()) / 1000));
        words.put("recovery_reason", lost || !recovery.stateLost() ? recovery.reason() : "");
        words.put("recovery_kept", writesFail ? "0" : "1");
        return words;
    }

    private void say() {
        List<String> lines = recovery.takeLogLines();
        if (guards(RecoverySettings.Guard.NAMED_LOSS) || !recovery.stateLost()) {
            lines.forEach(transport::log);
        }
    }

    void close(Runnable then) {
        keepList();
        keeper.close(then);
    }

    void abandon() {
        keeper.abandon();
    }
}
