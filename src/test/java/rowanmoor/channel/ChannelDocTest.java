package rowanmoor.channel;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import rowanmoor.ControlApi.Backend;

/** Checks that the example frames in docs/channel.md match the codec, in both directions. */
class ChannelDocTest {

    @Test
    void exampleBytesInTheDocumentMatchTheCodec() throws IOException, ChannelException {
        List<Frame> frames = List.of(
                new Frame.Hello(1, 41, 0x1122334455667788L, 1, 12.5, true, 0, 0, "relay-41"),
                new Frame.Update(77, 3, 1000, 9, List.of(new Frame.SetLine(2, new Frame.Line(
                        new Backend(0x7f0000011f90L), 1.5)), new Frame.Mark(12))));
        List<String> blocks = new ArrayList<>();
        Matcher matcher = Pattern.compile("```hex\n(.*?)```", Pattern.DOTALL).matcher(
                Files.readString(Path.of("docs/channel.md")));
        while (matcher.find()) {
            blocks.add(matcher.group(1).replaceAll("\\s", ""));
        }
        assertEquals(frames.size(), blocks.size());
        for (int i = 0; i < frames.size(); i++) {
            ByteBuffer encoded = Codec.encode(frames.get(i));
            byte[] actual = new byte[encoded.remaining()];
            encoded.get(actual);
            assertEquals(HexFormat.of().formatHex(actual), blocks.get(i));
            ByteBuffer documented = ByteBuffer.wrap(HexFormat.of().parseHex(blocks.get(i)));
            assertEquals(frames.get(i), new FrameReader(ChannelLimits.defaults()).next(documented));
        }
    }
}
