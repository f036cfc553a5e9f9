package stagepier.lab.cli;

import java.io.IOException;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import stagepier.lab.scale.PlanTooLargeException;
import stagepier.lab.scenario.InvalidScenarioException;

/** The command line: one word each for what a person does with the project. */
@Command(
        name = "stagepier",
        mixinStandardHelpOptions = true,
        version = "stagepier 0.3.0",
        description = "A router for keyed requests over cache servers, and the laboratory in which it is tried.",
        subcommands = {Demo.class, Lab.class, CommandLine.HelpCommand.class, AutoComplete.GenerateCompletion.class})
public final class Cli implements Runnable {
    public static final int BROKEN = 1;
    public static final int USAGE = 64;
    public static final int IO_ERROR = 74;
    public static final int BAD_CONFIG = 78;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "which command?");
    }

    /** The command line as it is run, for tests too. */
    public static CommandLine commandLine() {
        return new CommandLine(new Cli())
                .setCaseInsensitiveEnumValuesAllowed(true)
                .setParameterExceptionHandler((e, args) -> {
                    CommandLine at = e.getCommandLine();
                    at.getErr().println(at.getCommandSpec().qualifiedName() + ": " + e.getMessage() + " (try --help)");
                    return USAGE;
                })
                .setExecutionExceptionHandler((e, at, parsed) -> {
                    at.getErr()
                            .println(
                                    e instanceof InvalidScenarioException
                                            ? e.getMessage()
                                            : at.getCommandSpec().qualifiedName() + ": " + oneLine(e));
                    boolean badConfig = e instanceof InvalidScenarioException || e instanceof PlanTooLargeException;
                    return badConfig ? BAD_CONFIG : e instanceof IOException ? IO_ERROR : BROKEN;
                });
    }

    private static String oneLine(Exception e) {
        String message =
                e instanceof java.nio.file.NoSuchFileException ? "no such file: " + e.getMessage() : e.getMessage();
        return message == null ? e.toString() : message.replaceAll("\\s+", " ");
    }

    public static void main(String[] args) {
        // Halts: Netty's threads may still be winding down, and all that this process started has been ended.
        int code = commandLine().execute(args);
        System.out.flush();
        System.err.flush();
        System.exit(code);
    }
}
