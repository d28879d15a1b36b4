// Package wal is the write-ahead log of a replica: segments of records, each
// with a CRC-32C.
//
// A record holds one batch, which is written and synced as a unit before the
// next one. So only the last record can be torn by a crash; it is cut off when
// the log is opened. Any other damaged record was synced once, and opening the
// log fails.
package wal
