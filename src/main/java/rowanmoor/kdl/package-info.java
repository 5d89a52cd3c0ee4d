/**
 * KDL 2.0 documents (kdl.dev, specification 2.0.0). Job: from text to nodes, each error with its line
 * and column. Thread rule: parsing is a pure function; nodes and values do not change.
 */
package rowanmoor.kdl;
