package stagepier.lab.traffic;

/**
 * What a service of discovery has seen so far, or in a span of time. Bytes are those of HTTP.
 *
 * @param connections accepted
 * @param news        answers that hold an entry
 */
public record HttpTraffic(
        long connections,
        long requests,
        long requestBytes,
        long answers,
        long answerBytes,
        long news,
        long newsBytes,
        long refusals,
        long refusalBytes) {
    /** What came after an earlier moment. */
    public HttpTraffic since(HttpTraffic before) {
        return new HttpTraffic(
                connections - before.connections,
                requests - before.requests,
                requestBytes - before.requestBytes,
                answers - before.answers,
                answerBytes - before.answerBytes,
                news - before.news,
                newsBytes - before.newsBytes,
                refusals - before.refusals,
                refusalBytes - before.refusalBytes);
    }

    /** Of its answers those alone that hold an entry, without the requests. */
    public HttpTraffic newsOnly() {
        return new HttpTraffic(0, 0, 0, news, newsBytes, news, newsBytes, 0, 0);
    }
}
