// Package wal implements the write-ahead log of a replica as a sequence of segment
// files. A segment consists of records, each protected by a CRC-32C.
//
// A record is written and synced as a unit before the next one, so a crash can
// tear only the last record. It is cut off when the log is opened. Any other
// damaged record had been synced, and opening the log fails.
package wal
