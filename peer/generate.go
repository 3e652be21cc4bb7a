package peer

//go:generate protoc --proto_path=peerpb --go_out=peerpb --go_opt=paths=source_relative --go-drpc_out=peerpb --go-drpc_opt=paths=source_relative peer.proto
