//! Accepts connections of other control processes and of entry daemons.

use std::sync::Arc;
use std::time::Duration;

use coursestand_kernel::Tasks;
use coursestand_transport::frame::MAX_FRAME_BYTES;
use coursestand_transport::stream::{self, StreamError};
use log::{debug, warn};
use tokio::net::{TcpListener, TcpStream};

use crate::control::handle::ControlHandle;
use crate::fleet::edge_connection::{EDGE_TIMEOUT, serve_edge};
use crate::fleet::formation::Formation;
use crate::fleet::hub::{EdgeSubscriptions, Hub};
use crate::fleet::peer_connection::serve_peer;
use crate::fleet::unidentified_peers::{FIRST_MESSAGE_BYTES, UnidentifiedPeer, UnidentifiedPeers};
use crate::fleet::wire::{ToControl, TrailingFlag};

const LOG: &str = "mesh";

/// Components that serve connections.
pub struct ConnectionContext {
    /// The replica of the control group.
    pub control: Arc<ControlHandle>,
    /// Soft state of back ends and entry daemons.
    pub hub: Arc<Hub>,
    /// Adds replicas to the group.
    pub formation: Arc<Formation>,
    /// Connections that have not sent their first message yet.
    pub unidentified: Arc<UnidentifiedPeers>,
}

/// Accepts connections until it is dropped; each is served by one of `tasks`.
pub async fn accept(listener: TcpListener, context: Arc<ConnectionContext>, tasks: Arc<Tasks>) {
    loop {
        context.unidentified.wait_for_room().await;
        match listener.accept().await {
            Ok((connection, _)) => {
                let peer = context.unidentified.register();
                let context = Arc::clone(&context);
                tasks.start(async move {
                    if let Err(error) = serve(connection, peer, &context).await {
                        debug!(target: LOG, "connection closed: {error}");
                    }
                });
            }
            Err(error) => {
                warn!(target: LOG, "cannot accept a connection: {error}");
                context.unidentified.close_oldest();
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve(
    connection: TcpStream,
    unidentified: UnidentifiedPeer,
    context: &Arc<ConnectionContext>,
) -> Result<(), StreamError> {
    // The first message determines the type of the messages that are sent on the connection.
    let (mut receiver, sender) = stream::split::<ToControl, ()>(connection)?;
    receiver.set_max_message_bytes(FIRST_MESSAGE_BYTES);
    let first_message = tokio::select! {
        message = receiver.next_within(EDGE_TIMEOUT) => message?,
        () = unidentified.displaced() => return Err(StreamError::Ended),
    };
    receiver.set_max_message_bytes(MAX_FRAME_BYTES);
    drop(unidentified);
    match first_message {
        ToControl::PeerHello(peer) => {
            serve_peer(peer, receiver, sender.with_message_type(), context).await
        }
        ToControl::EdgeHello {
            record,
            catalog_version,
            reads_findings: TrailingFlag(findings),
            reads_crash_records: TrailingFlag(crash_records),
            reads_limits: TrailingFlag(rate_limits),
            reads_relays: TrailingFlag(relays),
        } => {
            let subscriptions = EdgeSubscriptions {
                findings,
                crash_records,
                rate_limits,
                relays,
            };
            serve_edge(
                record,
                catalog_version,
                subscriptions,
                receiver,
                sender.with_message_type(),
                context,
            )
            .await
        }
        _ => Err(StreamError::Ended),
    }
}
