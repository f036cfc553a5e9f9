package stagepier.lab.traffic;

import stagepier.lab.standin.DiscoveryFront;
import stagepier.lab.standin.HostList;

/** Counts what goes over the connections of a service. On its event loop only. */
public final class HttpTrafficCounter implements DiscoveryFront.Observer {
    private long connections;
    private long requests;
    private long requestBytes;
    private long answers;
    private long answerBytes;
    private long news;
    private long newsBytes;
    private long refusals;
    private long refusalBytes;

    @Override
    public void opened() {
        connections++;
    }

    @Override
    public void requested(String target, int bytes) {
        requests++;
        requestBytes += bytes;
    }

    @Override
    public void answered(HostList.Message message, int bytes) {
        answers++;
        answerBytes += bytes;
        if (!message.entries().isEmpty()) {
            news++;
            newsBytes += bytes;
        }
    }

    @Override
    public void refused(int bytes) {
        refusals++;
        refusalBytes += bytes;
    }

    /** All that was counted up to now. */
    public HttpTraffic soFar() {
        return new HttpTraffic(
                connections, requests, requestBytes, answers, answerBytes, news, newsBytes, refusals, refusalBytes);
    }
}
