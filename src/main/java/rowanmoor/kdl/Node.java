package rowanmoor.kdl;

import java.util.List;
import java.util.Map;

/**
 * One node. If a property is given more than once, the last value applies, as the specification requires.
 *
 * @param type type annotation, or null
 * @param line line of the node's name, from 1
 * @param column column of the node's name, from 1
 */
public record Node(String type, String name, List<Value> arguments, Map<String, Value> properties,
        List<Node> children, int line, int column) {

    public Node {
        arguments = List.copyOf(arguments);
        children = List.copyOf(children);
    }
}
