package rowanmoor.benchlink;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import rowanmoor.ControlApi.Action;
import rowanmoor.ControlApi.Admit;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.Bind;
import rowanmoor.ControlApi.Log;
import rowanmoor.ControlApi.Mark;
import rowanmoor.ControlApi.Probe;
import rowanmoor.ControlApi.SetLine;
import rowanmoor.ControlApi.TimerAt;
import rowanmoor.ControlApi.Watch;
import rowanmoor.ControlApi.Withdraw;

/** Encodes the actions of one reply; numbers are little-endian, IPv4 addresses in network order. */
final class ReplyEncoder {

    private static final int MAX_TEXT_BYTES = 60000;

    private final ByteArrayOutputStream records = new ByteArrayOutputStream();
    private int count;

    /** Adds an action; those that the protocol does not have are left out. */
    void add(long instance, Action action) {
        if (action instanceof Watch a) {
            addRecord(10, fieldsFor(instance, 1).put(flag(a.on())));
        } else if (action instanceof Admit a) {
            addRecord(20, fieldsFor(instance, 9).putShort((short) a.table()).putShort((short) a.classMask())
                    .putFloat((float) a.level()).put((byte) a.retry().ordinal()));
        } else if (action instanceof Log a) {
            addRecord(30, text(instance, a.text()));
        } else if (action instanceof Mark a) {
            addRecord(50, fieldsFor(instance, 5).putInt(a.number()).put(flag(false)));
        } else if (action instanceof Probe a) {
            addRecord(60, backend(fieldsFor(instance, 6), a.backend()));
        } else if (action instanceof Withdraw a) {
            addRecord(70, backend(fieldsFor(instance, 7), a.backend()).put(flag(a.withdrawn())));
        } else if (action instanceof SetLine a) {
            addRecord(80, backend(fieldsFor(instance, 12), a.backend()).putFloat((float) a.weight())
                    .putShort((short) a.table()));
        } else if (action instanceof TimerAt a) {
            addRecord(100, fieldsFor(instance, 16).putLong(a.time()).putLong(a.token()));
        } else if (action instanceof Bind a) {
            addRecord(110, fieldsFor(instance, 6).putShort((short) a.proxy()).putShort((short) a.table())
                    .putShort((short) a.classMask()));
        }
    }

    /** Adds the record that says that the policy of an instance has failed. */
    void addFailure(long instance, String reason) {
        addRecord(130, text(instance, reason));
    }

    /** Returns the whole reply to the batch of this number. */
    byte[] encode(int number) {
        ByteBuffer out = ByteBuffer.allocate(12 + records.size()).order(ByteOrder.LITTLE_ENDIAN);
        out.putInt(number).putInt(4 + records.size()).putInt(count).put(records.toByteArray());
        return out.array();
    }

    private static ByteBuffer fieldsFor(long instance, int bytes) {
        return ByteBuffer.allocate(4 + bytes).order(ByteOrder.LITTLE_ENDIAN).putInt((int) instance);
    }

    private void addRecord(int code, ByteBuffer fields) {
        ByteBuffer head = ByteBuffer.allocate(5).order(ByteOrder.LITTLE_ENDIAN);
        records.writeBytes(head.put((byte) code).putInt(fields.capacity()).array());
        records.writeBytes(fields.array());
        count++;
    }

    private static ByteBuffer text(long instance, String text) {
        byte[] data = text.getBytes(StandardCharsets.UTF_8);
        byte[] truncated = data.length > MAX_TEXT_BYTES ? Arrays.copyOf(data, MAX_TEXT_BYTES) : data;
        return fieldsFor(instance, 2 + truncated.length).putShort((short) truncated.length).put(truncated);
    }

    static ByteBuffer backend(ByteBuffer out, Backend backend) {
        for (int shift = 40; shift >= 16; shift -= 8) {
            out.put((byte) (backend.id() >> shift));
        }
        return out.putShort((short) backend.id());
    }

    private static byte flag(boolean on) {
        return (byte) (on ? 1 : 0);
    }
}
