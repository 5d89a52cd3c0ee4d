/**
 * Configuration files. Maps KDL documents to records and reports all problems at once, each with file, line
 * and key. Files are read before any event loop starts; the records are immutable.
 */
package rowanmoor.config;
