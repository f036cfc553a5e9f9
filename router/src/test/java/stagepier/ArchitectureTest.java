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

/** Which package may know which. */
@AnalyzeClasses(packages = "stagepier", importOptions = DoNotIncludeTests.class)
class ArchitectureTest {
    @ArchTest
    static final ArchRule CLIENTS_DO_NOT_KNOW_SERVERS = noClasses()
            .that()
            .resideInAPackage("stagepier.client..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("stagepier.server..");

    @ArchTest
    static final ArchRule SERVERS_DO_NOT_KNOW_CLIENTS = noClasses()
            .that()
            .resideInAPackage("stagepier.server..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("stagepier.client..");

    /** What decides has neither I/O nor clock nor randomness of its own. */
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
    static final ArchRule PARSERS_KNOW_NO_SOCKETS = noClasses()
            .that()
            .resideInAPackage("stagepier.memcache..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("io.netty..", "java.net..");

    /** What routers tell each other has one form and one sum for sockets and simulator alike. */
    @ArchTest
    static final ArchRule NEWS_KNOWS_NO_SOCKETS = noClasses()
            .that()
            .resideInAPackage("stagepier.peers..")
            .and()
            .haveNameNotMatching(".*PeerSocket.*")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("io.netty..", "java.net..", "org.slf4j..");

    @ArchTest
    static final ArchRule PEERS_STAND_ALONE = noClasses()
            .that()
            .resideInAPackage("stagepier.peers..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "stagepier.client..", "stagepier.server..", "stagepier.exchange..", "stagepier.discovery..");

    @ArchTest
    static final ArchRule NOTHING_KNOWS_THE_APP = noClasses()
            .that()
            .resideOutsideOfPackage("stagepier.app..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("stagepier.app..");

    /** A bootstrap that opens a socket itself tells of a failure on another thread than the event loop. */
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

    /** What is static is shared by all deployments in a process; {@link StaticStateTest} looks into what it holds. */
    @ArchTest
    static final ArchRule WHAT_IS_STATIC_IS_FINAL =
            fields().that().areStatic().should().beFinal();
}
