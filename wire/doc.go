// Package wire defines the messages between the processes of ibispier and
// their framing. It contains no application logic.
package wire

//go:generate protoc --plugin=protoc-gen-go=../.bin/protoc-gen-go --go_out=. --go_opt=paths=source_relative wire.proto
//go:generate sh -c "cd .. && sha256sum wire/wire.proto wire/wire.pb.go > wire/generated.sha256"
