package gatefront;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Checks the allowed dependencies between packages, and that pure packages do no I/O and read no clock. */
class ArchitectureTest {
    private static final JavaClasses PRODUCTION_CLASSES = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("gatefront");
    private static final String[] PURE_PACKAGES = {
        "gatefront.policy..",
        "gatefront.rehearsal.world..",
        "gatefront.rehearsal.check..",
        "gatefront.registry.follower..",
        "gatefront.budget..",
        "gatefront.limits..",
        "gatefront.ledger..",
        "gatefront.recovery..",
        "gatefront.shutdown..",
        "gatefront.silence.."
    };

    @Test
    void layersDependOnlyOnAllowedLayers() {
        layeredArchitecture()
                .consideringOnlyDependenciesInLayers()
                .layer("cli")
                .definedBy("gatefront.cli..")
                .layer("rehearsal")
                .definedBy("gatefront.rehearsal..")
                .layer("drill")
                .definedBy("gatefront.drill..")
                .layer("agent")
                .definedBy("gatefront.agent..")
                .layer("http")
                .definedBy("gatefront.http")
                .layer("connection")
                .definedBy("gatefront.connection..")
                .layer("engine")
                .definedBy("gatefront.engine..")
                .layer("thrift")
                .definedBy("gatefront.thrift")
                .layer("thrift codec")
                .definedBy("gatefront.thrift.codec..")
                .layer("padron")
                .definedBy("gatefront.padron..")
                .layer("budget")
                .definedBy("gatefront.budget..")
                .layer("limits")
                .definedBy("gatefront.limits..")
                .layer("storage")
                .definedBy("gatefront.storage..")
                .layer("ledger")
                .definedBy("gatefront.ledger..")
                .layer("ledgerstore")
                .definedBy("gatefront.ledgerstore..")
                .layer("recovery")
                .definedBy("gatefront.recovery..")
                .layer("shutdown")
                .definedBy("gatefront.shutdown..")
                .layer("silence")
                .definedBy("gatefront.silence..")
                .layer("persistence")
                .definedBy("gatefront.persistence..")
                .layer("status")
                .definedBy("gatefront.status..")
                .layer("management")
                .definedBy("gatefront.management..")
                .layer("upgrade")
                .definedBy("gatefront.upgrade..")
                .layer("registry")
                .definedBy("gatefront.registry")
                .layer("follower")
                .definedBy("gatefront.registry.follower..")
                .layer("codec")
                .definedBy("gatefront.http.codec..")
                .layer("toml")
                .definedBy("gatefront.toml..")
                .layer("config")
                .definedBy("gatefront.config..")
                .layer("membership")
                .definedBy("gatefront.membership..")
                .layer("transport")
                .definedBy("gatefront.transport..")
                .layer("policy")
                .definedBy("gatefront.policy..")
                .whereLayer("cli")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("drill")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("rehearsal")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("connection")
                .mayOnlyAccessLayers("budget", "engine", "membership", "policy", "silence", "transport")
                .whereLayer("engine")
                .mayOnlyAccessLayers("budget", "limits", "membership", "policy", "recovery", "shutdown", "transport")
                .whereLayer("agent")
                .mayOnlyBeAccessedByLayers("cli", "rehearsal")
                .whereLayer("http")
                .mayOnlyBeAccessedByLayers("agent")
                .whereLayer("thrift")
                .mayOnlyBeAccessedByLayers("agent", "rehearsal")
                .whereLayer("thrift codec")
                .mayNotAccessAnyLayer()
                .whereLayer("padron")
                .mayOnlyBeAccessedByLayers("agent")
                .whereLayer("registry")
                .mayOnlyBeAccessedByLayers("agent", "cli", "rehearsal")
                .whereLayer("registry")
                .mayOnlyAccessLayers("budget", "follower", "codec", "config", "membership", "policy", "transport")
                .whereLayer("budget")
                .mayNotAccessAnyLayer()
                .whereLayer("limits")
                .mayOnlyBeAccessedByLayers("engine")
                .whereLayer("limits")
                .mayNotAccessAnyLayer()
                .whereLayer("storage")
                .mayNotAccessAnyLayer()
                .whereLayer("ledger")
                .mayNotAccessAnyLayer()
                .whereLayer("recovery")
                .mayNotAccessAnyLayer()
                .whereLayer("shutdown")
                .mayOnlyBeAccessedByLayers("agent", "engine")
                .whereLayer("shutdown")
                .mayNotAccessAnyLayer()
                .whereLayer("silence")
                .mayOnlyBeAccessedByLayers("connection")
                .whereLayer("silence")
                .mayNotAccessAnyLayer()
                .whereLayer("persistence")
                .mayOnlyBeAccessedByLayers("agent", "cli")
                .whereLayer("persistence")
                .mayOnlyAccessLayers("membership", "recovery", "storage")
                .whereLayer("ledgerstore")
                .mayOnlyBeAccessedByLayers("agent", "cli")
                .whereLayer("ledgerstore")
                .mayOnlyAccessLayers("ledger", "storage")
                .whereLayer("management")
                .mayOnlyBeAccessedByLayers("agent")
                .whereLayer("management")
                .mayOnlyAccessLayers("membership", "policy", "status", "transport")
                .whereLayer("upgrade")
                .mayOnlyBeAccessedByLayers("agent")
                .whereLayer("upgrade")
                .mayOnlyAccessLayers("membership")
                .whereLayer("status")
                .mayOnlyBeAccessedByLayers("agent", "cli", "management")
                .whereLayer("status")
                .mayOnlyAccessLayers("budget", "transport")
                .whereLayer("follower")
                .mayNotAccessAnyLayer()
                .whereLayer("toml")
                .mayNotAccessAnyLayer()
                .whereLayer("policy")
                .mayNotAccessAnyLayer()
                .whereLayer("transport")
                .mayNotAccessAnyLayer()
                .whereLayer("membership")
                .mayOnlyAccessLayers("policy")
                .whereLayer("config")
                .mayOnlyAccessLayers("membership", "policy")
                .whereLayer("codec")
                .mayNotAccessAnyLayer()
                .check(PRODUCTION_CLASSES);
    }

    @Test
    void packagesHaveNoCycles() {
        slices().matching("gatefront.(**)").should().beFreeOfCycles().check(PRODUCTION_CLASSES);
    }

    @Test
    void purePackagesDoNoIo() {
        noClasses()
                .that()
                .resideInAnyPackage(PURE_PACKAGES)
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.io..",
                        "java.nio..",
                        "java.net..",
                        "java.time..",
                        "java.util.concurrent..",
                        "io.netty..",
                        "com.fasterxml..")
                .check(PRODUCTION_CLASSES);
    }

    @Test
    void purePackagesReadNoClock() {
        noClasses()
                .that()
                .resideInAnyPackage(PURE_PACKAGES)
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Thread.class)
                .check(PRODUCTION_CLASSES);
    }

    /** Only the command line, the transport and the rehearsals on real sockets may create clocks and event loops. */
    @Test
    void clocksAndEventLoopsAreInjected() {
        noClasses()
                .that()
                .resideOutsideOfPackages("gatefront.transport..", "gatefront.cli..")
                .and()
                .haveNameNotMatching("gatefront.rehearsal.(LoopbackMachine|RealRehearsal|Demo|ProcessRehearsal"
                        + "|processes.(Relay|LoopLateness))(\\$.*)?")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .dependOnClassesThat()
                .resideInAnyPackage("io.netty.channel.nio..", "io.netty.channel.socket.nio..")
                .check(PRODUCTION_CLASSES);
    }
}
