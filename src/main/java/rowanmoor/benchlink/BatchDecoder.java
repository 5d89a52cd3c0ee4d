package rowanmoor.benchlink;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import rowanmoor.ControlApi.Applied;
import rowanmoor.ControlApi.Availability;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.CatalogUpdateKind;
import rowanmoor.ControlApi.Event;
import rowanmoor.ControlApi.Member;
import rowanmoor.ControlApi.Members;
import rowanmoor.ControlApi.Probed;
import rowanmoor.ControlApi.ProxyJoined;
import rowanmoor.ControlApi.ProxyLeft;
import rowanmoor.ControlApi.Tally;
import rowanmoor.ControlApi.Timer;
import rowanmoor.ControlApi.Usage;

/**
 * Decodes one batch, record by record. A catalog is stored in a numbered slot before the events that refer to
 * it, and slots are reused: records must be decoded in order. Numbers are little-endian, but the IPv4 address
 * of a backend is in network order.
 */
final class BatchDecoder {

    /** One record, with the instance that it is for. */
    sealed interface Message { }

    record StartInstance(long instance, long seed, String settings) implements Message { }

    record StopInstance(long instance) implements Message { }

    record InstanceEvent(long instance, Event event) implements Message { }

    private static final int PEER_MESSAGE = 50;
    private static final int PROBE_STATUS_OK = 10;
    private static final int CATALOG_SLOTS = 16;
    private static final int ENTRY_BYTES = 25;

    private final List<List<Member>> catalogs = new ArrayList<>();

    BatchDecoder() {
        for (int i = 0; i < CATALOG_SLOTS; i++) {
            catalogs.add(null);
        }
    }

    /** Decodes the record at the buffer's position; returns null for a catalog or one that is skipped. */
    Message next(ByteBuffer batch) {
        int code;
        ByteBuffer fields;
        try {
            code = batch.get() & 0xff;
            long length = batch.getInt() & 0xffffffffL;
            if (length > batch.remaining()) {
                throw new MalformedBatchException("record of code " + code + " is longer than its batch");
            }
            fields = batch.slice(batch.position(), (int) length).order(ByteOrder.LITTLE_ENDIAN);
            batch.position(batch.position() + (int) length);
        } catch (BufferUnderflowException e) {
            throw new MalformedBatchException("a batch ends within a record");
        }
        try {
            return decode(code, fields);
        } catch (BufferUnderflowException e) {
            throw new MalformedBatchException("record of code " + code + " is too short for its fields");
        }
    }

    private Message decode(int code, ByteBuffer in) {
        if (code == 150) {
            readCatalog(in);
            return null;
        }
        if (code < 10 || code > 110 || code % 10 != 0 || code == PEER_MESSAGE) {
            return null; // messages between peers and key ranges, which are not supported
        }
        long instance = in.getInt() & 0xffffffffL;
        return switch (code) {
            case 10 -> new StartInstance(instance, in.getLong(), text(in));
            case 60 -> new StopInstance(instance);
            default -> new InstanceEvent(instance, event(code, in));
        };
    }

    private Event event(int code, ByteBuffer in) {
        return switch (code) {
            case 20 -> members(in);
            case 30 -> new Timer(in.getLong());
            case 40 -> probeResult(in);
            case 70 -> new ProxyJoined(u16(in), u16(in), in.getFloat(), in.get() != 0);
            case 80 -> new ProxyLeft(u16(in));
            case 90 -> new Applied(u16(in), in.getInt(), in.getLong());
            case 100 -> tally(in);
            case 110 -> new Usage(u16(in), u16(in), u32(in), u32(in), in.getLong());
            default -> throw new MalformedBatchException("record of code " + code + " is unknown");
        };
    }

    private Event members(ByteBuffer in) {
        int mode = in.get() & 0xff;
        if (mode >= CatalogUpdateKind.values().length) {
            throw new MalformedBatchException("topology record has an unknown mode: " + mode);
        }
        CatalogUpdateKind kind = CatalogUpdateKind.values()[mode];
        long version = u32(in);
        int slot = u16(in);
        if (kind == CatalogUpdateKind.FAILED) {
            return new Members(kind, version, List.of());
        }
        if (slot >= CATALOG_SLOTS || catalogs.get(slot) == null) {
            throw new MalformedBatchException("topology record names list " + slot + ", which was not sent");
        }
        return new Members(kind, version, catalogs.get(slot));
    }

    private Event probeResult(ByteBuffer in) {
        int status = u16(in);
        long latency = in.getLong();
        Backend backend = backend(in);
        return new Probed(backend, status == PROBE_STATUS_OK, status, latency, load(in));
    }

    private Event tally(ByteBuffer in) {
        long latency = in.getLong();
        Backend backend = backend(in);
        long span = in.getLong();
        long failed = u32(in);
        int zone = u16(in);
        long tries = u32(in);
        return new Tally(backend, zone, tries, failed, latency, span, load(in));
    }

    private void readCatalog(ByteBuffer in) {
        int slot = u16(in);
        long count = u32(in);
        if (slot >= CATALOG_SLOTS || count * ENTRY_BYTES > in.remaining()) {
            throw new MalformedBatchException("census record has list " + slot + " of " + count + " entries");
        }
        List<Member> members = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            members.add(member(in));
        }
        catalogs.set(slot, List.copyOf(members));
    }

    private static Member member(ByteBuffer in) {
        Backend backend = backend(in);
        int zone = u16(in);
        int kind = u16(in);
        int cell = u16(in);
        int availability = in.get() & 0xff;
        if (availability >= Availability.values().length) {
            throw new MalformedBatchException("census entry has an unknown availability: " + availability);
        }
        return new Member(backend, zone, kind, cell, Availability.values()[availability], in.getFloat(),
                in.getLong());
    }

    static Backend backend(ByteBuffer in) {
        long id = 0;
        for (int i = 0; i < 4; i++) {
            id = id << 8 | in.get() & 0xff;
        }
        return new Backend(id << 16 | u16(in));
    }

    private static List<Double> load(ByteBuffer in) {
        int count = in.get() & 0xff;
        List<Double> values = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            values.add((double) in.getFloat());
        }
        return values;
    }

    private static String text(ByteBuffer in) {
        return new String(bytes(in, u32(in)), StandardCharsets.UTF_8);
    }

    private static byte[] bytes(ByteBuffer in, long count) {
        if (count > in.remaining()) {
            throw new BufferUnderflowException();
        }
        byte[] data = new byte[(int) count];
        in.get(data);
        return data;
    }

    private static int u16(ByteBuffer in) {
        return in.getShort() & 0xffff;
    }

    private static long u32(ByteBuffer in) {
        return in.getInt() & 0xffffffffL;
    }
}
