package rowanmoor;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.fields;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Packages depend on each other in one direction only, and decisions use no I/O and no clock. */
class ArchitectureTest {

    private static final JavaClasses ALL = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests()).importPackages("rowanmoor");

    @Test
    void packagesDependOnlyOnPermittedPackages() {
        layeredArchitecture().consideringOnlyDependenciesInLayers()
                .layer("core").definedBy("rowanmoor")
                .layer("settings").definedBy("rowanmoor.settings")
                .layer("benchlink").definedBy("rowanmoor.benchlink")
                .layer("host").definedBy("rowanmoor.host")
                .layer("resp").definedBy("rowanmoor.resp")
                .layer("platform").definedBy("rowanmoor.platform")
                .layer("kdl").definedBy("rowanmoor.kdl")
                .layer("config").definedBy("rowanmoor.config")
                .layer("net").definedBy("rowanmoor.net")
                .layer("http").definedBy("rowanmoor.http")
                .layer("channel").definedBy("rowanmoor.channel")
                .layer("discovery").definedBy("rowanmoor.discovery")
                .layer("capture").definedBy("rowanmoor.capture")
                .layer("controller").definedBy("rowanmoor.controller")
                .layer("proxy").definedBy("rowanmoor.proxy")
                .layer("emulator").definedBy("rowanmoor.emulator")
                .layer("plan").definedBy("rowanmoor.plan")
                .layer("standin").definedBy("rowanmoor.standin")
                .layer("lab").definedBy("rowanmoor.lab")
                .layer("cli").definedBy("rowanmoor.cli")
                .whereLayer("core").mayNotAccessAnyLayer()
                .whereLayer("settings").mayOnlyAccessLayers("core")
                .whereLayer("benchlink").mayOnlyAccessLayers("core", "settings")
                .whereLayer("host").mayOnlyAccessLayers("core", "channel")
                .whereLayer("resp").mayNotAccessAnyLayer()
                .whereLayer("platform").mayOnlyAccessLayers("core", "settings", "host", "channel", "resp",
                        "config", "net", "http", "discovery")
                .whereLayer("kdl").mayNotAccessAnyLayer()
                .whereLayer("net").mayNotAccessAnyLayer()
                .whereLayer("config").mayOnlyAccessLayers("core", "kdl")
                .whereLayer("http").mayOnlyAccessLayers("net")
                .whereLayer("channel").mayOnlyAccessLayers("core")
                .whereLayer("discovery").mayOnlyAccessLayers("core", "config", "net", "http")
                .whereLayer("controller").mayOnlyAccessLayers("core", "config", "net", "http", "channel",
                        "discovery", "capture", "host")
                .whereLayer("capture").mayOnlyAccessLayers("config")
                .whereLayer("proxy").mayOnlyAccessLayers("core", "config", "net", "http", "channel",
                        "discovery")
                .whereLayer("standin").mayOnlyAccessLayers("core", "config", "net", "http", "discovery",
                        "proxy")
                .whereLayer("emulator").mayOnlyAccessLayers("core", "config", "channel", "controller",
                        "discovery", "proxy")
                .whereLayer("plan").mayOnlyAccessLayers("core", "config", "capture", "emulator")
                .whereLayer("lab").mayNotBeAccessedByAnyLayer()
                .whereLayer("cli").mayNotBeAccessedByAnyLayer()
                .ignoreDependency(DescribedPredicate.describe("the command line",
                        c -> c.getPackageName().equals("rowanmoor.cli")),
                        DescribedPredicate.alwaysTrue())
                .check(ALL);
    }

    @Test
    void decisionModulesDoNoIo() {
        noClasses().that().resideInAPackage("rowanmoor")
                .or().resideInAPackage("rowanmoor.host")
                .or().resideInAPackage("rowanmoor.settings")
                .or().resideInAPackage("rowanmoor.resp")
                .or().resideInAPackage("rowanmoor.emulator")
                .or().resideInAPackage("rowanmoor.plan")
                .or().haveSimpleName("Driver").or().haveSimpleName("Intake").or().haveSimpleName("Outbox")
                .or().haveSimpleName("Messages").or().haveSimpleName("Translator")
                .or().haveSimpleName("RosterView").or().haveSimpleName("Router")
                .or().haveSimpleName("Tallies").or().haveSimpleName("Redial")
                .or().haveSimpleName("BackendModel").or().haveSimpleName("RuleChecker")
                .or().haveSimpleName("ProxyStateModel")
                .should().dependOnClassesThat().resideInAnyPackage("java.io..", "java.nio.channels..",
                        "java.nio.file..", "java.net..", "rowanmoor.net..", "org.slf4j..")
                .orShould().callMethod(System.class, "nanoTime")
                .orShould().callMethod(System.class, "currentTimeMillis").check(ALL);
    }

    @Test
    void staticFieldsAreFinal() {
        fields().that().areStatic().should().beFinal().check(ALL);
    }

    @Test
    void benchlinkUsesNoLibrary() {
        classes().that().resideInAPackage("rowanmoor.benchlink").or().resideInAPackage("rowanmoor").or()
                .resideInAPackage("rowanmoor.settings").or().haveFullyQualifiedName("rowanmoor.cli.Main")
                .should().onlyDependOnClassesThat().resideInAnyPackage("java..", "rowanmoor",
                        "rowanmoor.benchlink", "rowanmoor.settings", "rowanmoor.platform", "rowanmoor.cli")
                .check(ALL);
    }
}
