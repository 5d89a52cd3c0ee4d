/**
 * Parser for KDL 2.0 documents (kdl.dev, specification 2.0.0). Errors carry line and column. Parsing is a
 * pure function; nodes and values are immutable.
 */
package rowanmoor.kdl;
