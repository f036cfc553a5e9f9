package stagepier;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.fields;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption.DoNotIncludeTests;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import io.netty.bootstrap.AbstractBootstrap;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;

/** Permitted dependencies between packages. */
@AnalyzeClasses(packages = "stagepier", importOptions = DoNotIncludeTests.class)
class ArchitectureTest {
    @ArchTest
    static final ArchRule CLIENTS_DO_NOT_DEPEND_ON_SERVERS = noClasses()
            .that()
            .resideInAPackage("stagepier.client..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("stagepier.server..");

    @ArchTest
    static final ArchRule SERVERS_DO_NOT_DEPEND_ON_CLIENTS = noClasses()
            .that()
            .resideInAPackage("stagepier.server..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("stagepier.client..");

    /** The decision packages do no I/O, read no clock and have no random source of their own. */
    @ArchTest
    static final ArchRule DECISIONS_ARE_PURE = noClasses()
            .that()
            .resideInAnyPackage("stagepier", "stagepier.overload..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "io.netty..",
                    "java.io..",
                    "java.net..",
                    "java.nio..",
                    "java.util.concurrent..",
                    "org.slf4j..",
                    "stagepier.app..",
                    "stagepier.client..",
                    "stagepier.server..",
                    "stagepier.exchange..",
                    "stagepier.link..",
                    "stagepier.discovery..")
            .orShould()
            .callMethod(System.class, "nanoTime")
            .orShould()
            .callMethod(System.class, "currentTimeMillis")
            .orShould()
            .callMethod(Math.class, "random");

    @ArchTest
    static final ArchRule PARSERS_DO_NOT_DEPEND_ON_SOCKETS = noClasses()
            .that()
            .resideInAPackage("stagepier.memcache..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("io.netty..", "java.net..");

    /** The format and the summing of peer reports are shared by sockets and the simulator. */
    @ArchTest
    static final ArchRule PEER_REPORTS_DO_NOT_DEPEND_ON_SOCKETS = noClasses()
            .that()
            .resideInAPackage("stagepier.peers..")
            .and()
            .haveNameNotMatching(".*PeerSocket.*")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("io.netty..", "java.net..", "org.slf4j..");

    @ArchTest
    static final ArchRule PEERS_DO_NOT_DEPEND_ON_ROUTING_PACKAGES = noClasses()
            .that()
            .resideInAPackage("stagepier.peers..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "stagepier.client..", "stagepier.server..", "stagepier.exchange..", "stagepier.discovery..");

    @ArchTest
    static final ArchRule ONLY_THE_APP_DEPENDS_ON_THE_APP = noClasses()
            .that()
            .resideOutsideOfPackage("stagepier.app..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("stagepier.app..");

    /** A bootstrap that opens a socket itself reports a failure on a thread other than the event loop's. */
    @ArchTest
    static final ArchRule SOCKETS_ARE_OPENED_IN_ONE_PLACE = noClasses()
            .that()
            .haveNameNotMatching("stagepier\\.link\\.(Sockets|Interruptible.*)")
            .should()
            .callMethod(AbstractBootstrap.class, "channel", Class.class)
            .orShould()
            .callConstructor(NioSocketChannel.class)
            .orShould()
            .callConstructor(NioServerSocketChannel.class);

    /** Static fields are shared by all deployments in a process; {@link StaticStateTest} checks their values. */
    @ArchTest
    static final ArchRule STATIC_FIELDS_ARE_FINAL =
            fields().that().areStatic().should().beFinal();
}
