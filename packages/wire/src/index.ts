export * from './gen/bulrush/peer/v1/peer_pb.js'
