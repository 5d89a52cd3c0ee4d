/**
 * Settings. Job: map KDL documents to records, naming file, line and key of everything that is wrong, all
 * at once. Thread rule: reading is done before any loop runs; records do not change.
 */
package rowanmoor.config;
