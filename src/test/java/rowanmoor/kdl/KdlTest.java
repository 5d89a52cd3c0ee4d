package rowanmoor.kdl;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.math.BigDecimal;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class KdlTest {

    private static Object parseFirstArgument(String value) throws KdlException {
        return KdlParser.parse("n " + value).get(0).arguments().get(0).content();
    }

    @Test
    void nodesHaveArgumentsPropertiesChildrenAndTypeAnnotations() throws KdlException {
        List<Node> nodes = KdlParser.parse("(t)node 1 (u)\"two\" key=#true key=#false { child; other 3 }; last");
        Node node = nodes.get(0);
        assertEquals("t", node.type());
        assertEquals("u", node.arguments().get(1).type());
        assertEquals(false, node.properties().get("key").content());
        assertEquals(List.of("child", "other"), node.children().stream().map(Node::name).toList());
        assertEquals("last", nodes.get(1).name());
    }

    @Test
    void slashDashDropsNodesEntriesAndBlocks() throws KdlException {
        List<Node> nodes = KdlParser.parse("/- gone 1 { x }\nkept /-1 2 /-k=3 /-{ a } { b }\n/-\n gone");
        assertEquals(1, nodes.size());
        assertEquals(1, nodes.get(0).arguments().size());
        assertEquals(0, nodes.get(0).properties().size());
        assertEquals("b", nodes.get(0).children().get(0).name());
    }

    @Test
    void commentsNestAndLinesContinue() throws KdlException {
        Node node = KdlParser.parse("a /* x /* y */ z */ 1 \\ // more\n  2 // end\n").get(0);
        assertEquals(2, node.arguments().size());
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {"10|10", "-1_000.5e+2|-100050", "0xFf|255", "-0b1_01|-5", "0o17|15"})
    void numbers(String text, String number) throws KdlException {
        assertEquals(0, new BigDecimal(number).compareTo((BigDecimal) parseFirstArgument(text)));
    }

    @Test
    void strings() throws KdlException {
        assertEquals("a\n\"\\ \u00e9", parseFirstArgument("\"a\\n\\\"\\\\\\s\\u{e9}\""));
        assertEquals("ab", parseFirstArgument("\"a\\   \n   b\""));
        assertEquals("a\\n\"", parseFirstArgument("#\"a\\n\"\"#"));
        assertEquals("one\n  two\n\nthree", parseFirstArgument("\"\"\"\n   one\n     two\n\n   three\n   \"\"\""));
        assertEquals("a\\tb", parseFirstArgument("##\"\"\"\n a\\tb\n \"\"\"##"));
        assertEquals("a\tb", parseFirstArgument("\"\"\"\n a\\tb\n \"\"\""));
        assertEquals("bare-word", parseFirstArgument("bare-word"));
        assertEquals("-", parseFirstArgument("-"));
        assertEquals(null, parseFirstArgument("#null"));
        assertEquals(Value.SpecialNumber.MINUS_INFINITY, parseFirstArgument("#-inf"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"a {", "a }", "a \"x", "a \"x\ny\"", "a true", "a 1x", "a .5", "a +.5", "a #yes", "a b=",
        "a 1=2", "a (t", "a /* x", "a \\ x", "a \"\\q\"", "a \"\\u{110000}\"", "a \"\"\"x\"\"\"",
        "a \"\"\"\n  x\n y\n  \"\"\"", "a {} 1", "a {} {}", "a\"b\"", "a 0x", "a 1__e", "a 1e99999",
        "a \u0001", "(t)", "/-", "a 1\"b\"", "=", "a #\"x\""})
    void invalidDocumentIsRejectedWithLineAndColumn(String text) {
        KdlException error = assertThrows(KdlException.class, () -> KdlParser.parse(text));
        assertTrue(error.line() >= 1 && error.column() >= 1);
    }

    @Test
    void errorsNameLineAndColumn() {
        KdlException error = assertThrows(KdlException.class, () -> KdlParser.parse("a 1\r\nb {\r\n  c true\r\n}"));
        assertEquals("3:5", error.line() + ":" + error.column());
    }

    @Test
    void deepNestingIsRejectedWithoutStackOverflow() {
        assertThrows(KdlException.class, () -> KdlParser.parse("a{".repeat(100_000)));
    }

    @Property(seed = "23")
    void anyTextIsParsedOrRejected(@ForAll long seed, @ForAll String noise) {
        String[] parts = {"a", " ", "\"", "\"\"\"", "#", "\\", "\n", "{", "}", "(", ")", "/-", "/*", "*/", "//",
            "=", "1", "0x", "e", "-", "#true", ";", "\\u{41}", noise};
        Random random = new Random(seed);
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < 25; i++) {
            text.append(parts[random.nextInt(parts.length)]);
        }
        try {
            KdlParser.parse(text.toString());
        } catch (KdlException e) {
            assertTrue(e.line() >= 1);
        }
    }
}
