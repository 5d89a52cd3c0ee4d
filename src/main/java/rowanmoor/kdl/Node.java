package rowanmoor.kdl;

import java.util.List;
import java.util.Map;

/**
 * One node. Of a property given twice the later value counts, as the specification has it.
 *
 * @param type the annotation, or null
 * @param line where its name stands, from 1
 */
public record Node(String type, String name, List<Value> arguments, Map<String, Value> properties,
        List<Node> children, int line, int column) {

    public Node {
        arguments = List.copyOf(arguments);
        children = List.copyOf(children);
    }
}
