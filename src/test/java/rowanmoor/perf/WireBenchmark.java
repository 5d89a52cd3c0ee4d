package rowanmoor.perf;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.RetryPolicy;
import rowanmoor.channel.ChannelException;
import rowanmoor.channel.ChannelLimits;
import rowanmoor.channel.Codec;
import rowanmoor.channel.Frame;
import rowanmoor.channel.FrameReader;
import rowanmoor.http.HttpError;
import rowanmoor.http.MessageLimits;
import rowanmoor.http.Message;
import rowanmoor.http.MessageParser;

/** Measures the cost of encoding and decoding one message; docs/measurements/running-controller.md has the command. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class WireBenchmark {

    private static final byte[] REQUEST = ("GET /preview/12345 HTTP/1.1\r\nHost: rowanmoor.test\r\n"
            + "x-work: 0.123456\r\nx-request-id: 12345.1\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);
    private static final byte[] RESPONSE = ("HTTP/1.1 200 OK\r\nendpoint-load-metrics: TEXT cpu_utilization=0.5,"
            + " named_metrics.queue=3\r\nContent-Length: 5\r\n\r\ndone\n").getBytes(StandardCharsets.ISO_8859_1);

    private final Frame bind = bindWithLines(25);
    private final Frame lines = new Frame.Update(1, 2, 3, 4, List.of(
            new Frame.SetLine(1, new Frame.Line(new Backend(5), 1)),
            new Frame.SetLine(1, new Frame.Line(new Backend(6), 1)), new Frame.Mark(7)));
    private final byte[] encodedBind = encoded(bind);
    private final byte[] encodedLines = encoded(lines);

    private static Frame bindWithLines(int count) {
        List<Frame.Line> table = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            table.add(new Frame.Line(new Backend(1000 + i), 1.5));
        }
        return new Frame.Update(1, 2, 3, 4, List.of(new Frame.Bind(3, new Frame.Table(7, table,
                List.of(new Frame.Level(1, 10, RetryPolicy.ONCE_UNRUN))), List.of()), new Frame.Mark(7)));
    }

    private static byte[] encoded(Frame frame) {
        ByteBuffer bytes = Codec.encode(frame);
        byte[] copy = new byte[bytes.remaining()];
        bytes.get(copy);
        return copy;
    }

    @Benchmark
    public Object encodeBindWith25Lines() {
        return Codec.encode(bind);
    }

    @Benchmark
    public Object decodeBindWith25Lines() throws ChannelException {
        return new FrameReader(ChannelLimits.defaults()).next(ByteBuffer.wrap(encodedBind));
    }

    @Benchmark
    public Object encodeUpdateWithTwoLines() {
        return Codec.encode(lines);
    }

    @Benchmark
    public Object decodeUpdateWithTwoLines() throws ChannelException {
        return new FrameReader(ChannelLimits.defaults()).next(ByteBuffer.wrap(encodedLines));
    }

    @Benchmark
    public Message parseRequest() throws HttpError {
        return MessageParser.forRequests(MessageLimits.defaults()).next(ByteBuffer.wrap(REQUEST));
    }

    @Benchmark
    public Message parseResponse() throws HttpError {
        return MessageParser.forResponses(MessageLimits.defaults()).next(ByteBuffer.wrap(RESPONSE));
    }
}
