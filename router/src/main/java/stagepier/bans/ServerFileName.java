package stagepier.bans;

/** Server ids as parts of file names. */
final class ServerFileName {
    private ServerFileName() {}

    /** Returns the id with the characters escaped that file names may not contain; the result has no dot. */
    static String of(String server) {
        StringBuilder name = new StringBuilder();
        for (char c : server.toCharArray()) {
            name.append(Character.isLetterOrDigit(c) || c == '-' ? String.valueOf(c) : "_%02x".formatted((int) c));
        }
        return name.toString();
    }
}
