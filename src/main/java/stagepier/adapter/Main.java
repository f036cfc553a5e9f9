package stagepier.adapter;

import java.io.BufferedInputStream;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;

/** Command line: {@code adapter} speaks the wire on standard input and output. */
public final class Main {
    private static final int USAGE = 64;
    private static final int BAD_INPUT = 65;
    private static final int IO_ERROR = 74;

    private Main() {
    }

    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("adapter")) {
            System.err.println("usage: java -jar stagepier.jar adapter");
            System.exit(USAGE);
        }
        try {
            // Unbuffered output: each reply is one write of a whole buffer.
            new Adapter(new BufferedInputStream(new FileInputStream(FileDescriptor.in), 1 << 16),
                    new FileOutputStream(FileDescriptor.out)).run();
        } catch (WireException e) {
            System.err.println("stagepier: " + e.getMessage());
            System.exit(BAD_INPUT);
        } catch (IOException e) {
            System.err.println("stagepier: " + e.getMessage());
            System.exit(IO_ERROR);
        }
    }
}
