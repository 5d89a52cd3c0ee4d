package rowanmoor.benchlink;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import rowanmoor.ControlApi.Action;
import rowanmoor.RoutingPolicy;
import rowanmoor.settings.SettingsReader;

/**
 * Serves the test bench: reads one batch at a time and writes one reply to each. Runs a {@link RoutingPolicy}
 * for every instance that the bench starts.
 */
public final class BenchServer {

    private static final int HEADER_BYTES = 12;
    private static final int MAX_BATCH_BYTES = 1 << 30;

    private final Map<Long, RoutingPolicy> instances = new TreeMap<>();
    private final BatchDecoder decoder = new BatchDecoder();

    /**
     * Serves batches until the input ends.
     *
     * @throws MalformedBatchException if a batch cannot be decoded
     * @throws IOException if reading or writing fails
     */
    public void serve(InputStream in, OutputStream out) throws IOException {
        while (true) {
            byte[] header = in.readNBytes(HEADER_BYTES);
            if (header.length == 0) {
                return;
            }
            if (header.length < HEADER_BYTES) {
                throw new MalformedBatchException("the input ends within the header of a batch");
            }
            ByteBuffer head = ByteBuffer.wrap(header).order(ByteOrder.LITTLE_ENDIAN);
            int number = head.getInt();
            long length = (head.getInt() & 0xffffffffL) - 4;
            long count = head.getInt() & 0xffffffffL;
            if (length < 8 || length > MAX_BATCH_BYTES) {
                throw new MalformedBatchException("the length of a batch is out of range: " + (length + 4));
            }
            byte[] body = in.readNBytes((int) length);
            if (body.length < length) {
                throw new MalformedBatchException("the input ends within a batch");
            }
            out.write(replyTo(number, count, ByteBuffer.wrap(body).order(ByteOrder.LITTLE_ENDIAN)));
            out.flush();
        }
    }

    private byte[] replyTo(int number, long count, ByteBuffer batch) {
        long now = batch.getLong();
        ReplyEncoder reply = new ReplyEncoder();
        TreeSet<Long> toDecide = new TreeSet<>();
        for (long i = 0; i < count; i++) {
            handle(decoder.next(batch), now, toDecide, reply);
        }
        if (batch.hasRemaining()) {
            throw new MalformedBatchException(
                    "a batch has " + batch.remaining() + " bytes after its last record");
        }
        for (long instance : toDecide) {
            decide(instance, now, reply);
        }
        return reply.encode(number);
    }

    private void handle(BatchDecoder.Message message, long now, TreeSet<Long> toDecide, ReplyEncoder reply) {
        if (message instanceof BatchDecoder.StartInstance start) {
            // Parsed outside the guard: invalid settings are an error of the input, not of the policy.
            var settings = SettingsReader.parseLines(start.settings());
            runGuarded(start.instance(), reply, () ->
                    instances.put(start.instance(), new RoutingPolicy(settings, start.seed())));
            toDecide.add(start.instance());
        } else if (message instanceof BatchDecoder.StopInstance stop) {
            instances.remove(stop.instance());
            toDecide.remove(stop.instance());
        } else if (message instanceof BatchDecoder.InstanceEvent event) {
            RoutingPolicy policy = instances.get(event.instance());
            if (policy != null) {
                runGuarded(event.instance(), reply, () -> policy.handle(now, event.event()));
                toDecide.add(event.instance());
            }
        }
    }

    private void decide(long instance, long now, ReplyEncoder reply) {
        RoutingPolicy policy = instances.get(instance);
        if (policy != null) {
            runGuarded(instance, reply, () -> {
                for (Action action : policy.decide(now)) {
                    reply.add(instance, action);
                }
            });
        }
    }

    private void runGuarded(long instance, ReplyEncoder reply, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            instances.remove(instance);
            reply.addFailure(instance, e.toString());
        }
    }
}
