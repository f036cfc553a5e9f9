package stagepier.lab;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.importer.ImportOption.DoNotIncludeTests;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

@AnalyzeClasses(packages = "stagepier.lab", importOptions = DoNotIncludeTests.class)
class ArchitectureTest {
    /** A later model in virtual time reuses these: they know neither sockets nor clocks nor files. */
    @ArchTest
    static final ArchRule PURE = noClasses()
            .that()
            .resideInAnyPackage("..lab.model..", "..lab.ledger..", "..lab.nemesis..", "..lab.check..", "..lab.hunt..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "io.netty..",
                    "java.io..",
                    "java.net..",
                    "java.nio..",
                    "java.util.concurrent..",
                    "..lab.standin..",
                    "..lab.fleet..",
                    "..lab.measure..",
                    "..lab.report..",
                    "..lab.cli..");

    @ArchTest
    static final ArchRule NO_CLOCK = noClasses()
            .that()
            .resideInAnyPackage("..lab.model..", "..lab.ledger..", "..lab.nemesis..", "..lab.check..", "..lab.hunt..")
            .should()
            .callMethod(System.class, "nanoTime")
            .orShould()
            .callMethod(System.class, "currentTimeMillis")
            .orShould()
            .callMethod(Math.class, "random");

    @ArchTest
    static final ArchRule COMMANDS_ARE_THE_TOP = noClasses()
            .that()
            .resideOutsideOfPackage("..lab.cli..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("..lab.cli..");

    /** The verdict trusts the router in nothing: not even its parsers. */
    @ArchTest
    static final ArchRule APART_FROM_THE_ROUTER = noClasses()
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "stagepier",
                    "stagepier.app..",
                    "stagepier.memcache..",
                    "stagepier.exchange..",
                    "stagepier.client..",
                    "stagepier.server..");

    @ArchTest
    static final ArchRule NO_CYCLES =
            slices().matching("stagepier.lab.(*)..").should().beFreeOfCycles();
}
