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
 * Restores an agent's state after a restart: validates the stored state, combines it with the configuration and stores
 * changes from then on. Runs on the agent's loop, except {@link #open}. Holds the latest server list, which bounds its
 * size, and the manual drains as last passed to the store.
 */
final class StateRecovery {
    /** Minimum interval between two writes of the server list, in milliseconds. */
    private static final long LIST_WRITE_INTERVAL_MS = 2_000;

    private final Transport transport;
    private final RecoverySettings settings;
    private final Recovery recovery;
    private final RecoveryStore store;
    private final StoredState storedState;
    private final Map<String, Endpoint> servers = new LinkedHashMap<>();
    private final Map<String, ServerBans.Entry> persistedBans = new HashMap<>();
    private Config config;
    private ValidationResult bansValidation;
    private boolean listChanged;
    private boolean writesFailing;

    private StateRecovery(Transport transport, RecoverySettings settings, Config config) {
        this.transport = transport;
        this.settings = settings;
        this.config = config;
        this.recovery = new Recovery(settings.instance(), settings.bounds(), transport.wallMicros());
        RecoveryStore.Opened opened =
                RecoveryStore.open(settings.directory(), settings.instance(), transport.loop(), transport::wallMicros);
        store = opened.store();
        storedState = opened.restored();
        recovery.storeOpened(opened.status(), opened.detail(), transport.wallMicros());
        if (storedState.instance() != null) {
            bansValidation = recovery.validate(
                    new RestoredState(
                            StateKind.BANS,
                            StateSource.STORE,
                            storedState.instance(),
                            storedState.writtenUntilMicros(),
                            opened.status() == Recovery.StoreStatus.DAMAGED),
                    transport.wallMicros());
        }
        logRecovery();
    }

    /** Opens the store and reads the stored state; blocks on the disk. */
    static StateRecovery open(Transport transport, RecoverySettings settings, Config config) {
        return new StateRecovery(transport, settings, config);
    }

    /** Returns whether a guard is on, that is, not switched off by a rehearsal. */
    boolean isEnabled(RecoverySettings.Guard guard) {
        return !settings.disabledGuards().contains(guard);
    }

    void start() {
        transport
                .loop()
                .scheduleWithFixedDelay(
                        store::saveAliveMark,
                        settings.heartbeatMicros(),
                        settings.heartbeatMicros(),
                        TimeUnit.MICROSECONDS);
        transport
                .loop()
                .scheduleWithFixedDelay(
                        this::persistList, LIST_WRITE_INTERVAL_MS, LIST_WRITE_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Returns the manual drains from before the restart, unless their validation discarded them. Unconfirmed ones stay
     * in force.
     */
    Map<String, ServerBans.Entry> restoredBans() {
        if (bansValidation == null
                || bansValidation.trust() == TrustLevel.DISCARDED
                || !isEnabled(RecoverySettings.Guard.KEPT_BANS)) {
            return Map.of();
        }
        persistedBans.putAll(storedState.bans());
        return storedState.bans();
    }

    /**
     * Returns the server list to start with: the stored one unless its validation discarded it, otherwise the one from
     * the configuration.
     */
    JsonNode initialList(JsonNode configured) {
        long now = transport.wallMicros();
        JsonNode stored = null;
        if (storedState.serverList() != null) {
            boolean readable = true;
            try {
                stored = Config.parseJson(new ByteArrayInputStream(storedState.serverList()));
            } catch (IOException e) {
                readable = false;
            }
            ValidationResult validation = recovery.validate(
                    new RestoredState(
                            StateKind.SERVER_LIST,
                            StateSource.STORE,
                            storedState.instance(),
                            storedState.serverListMicros(),
                            !readable),
                    now);
            stored = validation.trust() == TrustLevel.DISCARDED ? null : stored;
        }
        if (stored == null && configured.path("endpoints").size() > 0) {
            recovery.validate(
                    new RestoredState(StateKind.SERVER_LIST, StateSource.CONFIGURATION, null, -1, false), now);
        }
        logRecovery();
        return stored == null ? configured : stored;
    }

    /** Receives a change of the server list. */
    void onServerList(ListKind kind, List<Endpoint> endpoints) {
        if (kind == ListKind.CACHED || kind == ListKind.FAILED) {
            return;
        }
        if (kind == ListKind.FULL) {
            servers.clear();
            recovery.serverListReceived(transport.wallMicros());
            logRecovery();
        }
        for (Endpoint endpoint : endpoints) {
            if (endpoint.server().phase() == Phase.GONE) {
                servers.remove(endpoint.name());
            } else {
                servers.put(endpoint.name(), endpoint);
            }
        }
        listChanged = true;
    }

    private void persistList() {
        if (listChanged) {
            listChanged = false;
            ArrayNode endpoints = JsonNodeFactory.instance.arrayNode();
            servers.values().forEach(endpoint -> endpoints.add(EndpointJson.encode(endpoint, config)));
            store.saveServerList(
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

    /** Receives the configuration after a reload. */
    void configChanged(Config changed) {
        config = changed;
    }

    /** Called when the agent has become ready to serve clients. */
    void onReady() {
        recovery.servingStarted(transport.wallMicros());
        logRecovery();
    }

    /**
     * Stores the current manual drains.
     *
     * @param callback receives whether all of them are stored, once that is known
     */
    void persistBans(Map<String, ServerBans.Entry> entries, Consumer<Boolean> callback) {
        int[] pendingWrites = {1};
        boolean[] allStored = {true};
        Consumer<IOException> onWritten = failure -> {
            allStored[0] &= failure == null;
            recordWriteResult(failure);
            if (--pendingWrites[0] == 0) {
                callback.accept(allStored[0]);
            }
        };
        persistedBans.keySet().stream()
                .filter(name -> !entries.containsKey(name))
                .toList()
                .forEach(name -> {
                    persistedBans.remove(name);
                    store.saveBan(name, null, failure -> {});
                });
        entries.forEach((name, entry) -> {
            if (!entry.equals(persistedBans.put(name, entry))) {
                pendingWrites[0]++;
                store.saveBan(name, entry, onWritten);
            }
        });
        onWritten.accept(null);
    }

    private void recordWriteResult(IOException failure) {
        if (failure != null && !writesFailing) {
            transport.log("recovery: state not stored, it would be lost on a restart: " + failure.getMessage());
        }
        writesFailing = failure != null;
    }

    /** Returns the state of the recovery for the statistics of the management endpoint. */
    Map<String, String> statusFields() {
        Map<String, String> fields = new LinkedHashMap<>();
        boolean lossReported = recovery.stateLost() && isEnabled(RecoverySettings.Guard.NAMED_LOSS);
        fields.put(
                "recovery",
                lossReported || !recovery.stateLost() ? recovery.stage().label() : Recovery.Stage.COMPLETE.label());
        fields.put("recovery_lost", lossReported ? "1" : "0");
        fields.put("recovery_for_ms", String.valueOf((transport.wallMicros() - recovery.stageSinceMicros()) / 1000));
        fields.put("recovery_reason", lossReported || !recovery.stateLost() ? recovery.reason() : "");
        fields.put("recovery_kept", writesFailing ? "0" : "1");
        return fields;
    }

    private void logRecovery() {
        List<String> lines = recovery.takeLogLines();
        if (isEnabled(RecoverySettings.Guard.NAMED_LOSS) || !recovery.stateLost()) {
            lines.forEach(transport::log);
        }
    }

    void close(Runnable onClosed) {
        persistList();
        store.close(onClosed);
    }

    void abandon() {
        store.abandon();
    }
}
