//! Buffered bytes that are counted until they are freed.

use std::sync::Arc;

use bytes::{Buf, Bytes};

use super::Permit;

/// Buffered bytes together with their permit, which is returned when the last clone is dropped. A connection holds a
/// buffer until it has written all of it, so bytes that wait inside a connection are counted as well.
#[derive(Clone, Debug, Default)]
pub struct HeldBytes {
    bytes: Bytes,
    _permit: Option<Arc<Permit>>,
}

impl HeldBytes {
    /// Bytes that were taken from a budget.
    pub fn new(bytes: Bytes, permit: Permit) -> Self {
        Self {
            bytes,
            _permit: Some(Arc::new(permit)),
        }
    }

    /// Short messages of the node itself, which are part of the fixed cost of a connection.
    pub fn uncounted(bytes: impl Into<Bytes>) -> Self {
        Self {
            bytes: bytes.into(),
            _permit: None,
        }
    }

    /// The bytes.
    pub fn as_slice(&self) -> &[u8] {
        &self.bytes
    }

    /// Number of bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }
}

impl Buf for HeldBytes {
    fn remaining(&self) -> usize {
        self.bytes.remaining()
    }

    fn chunk(&self) -> &[u8] {
        self.bytes.chunk()
    }

    fn advance(&mut self, count: usize) {
        self.bytes.advance(count);
    }
}
