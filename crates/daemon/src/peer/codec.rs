//! Codec of the peer service: `postcard` messages in gRPC.

use std::marker::PhantomData;

use bytes::{Buf, BufMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tonic::Status;
use tonic::codec::{Codec, DecodeBuf, Decoder, EncodeBuf, Encoder};

/// Codec that encodes messages `T` and decodes messages `U`.
#[derive(Debug)]
pub struct PostcardCodec<T, U>(PhantomData<fn() -> (T, U)>);

impl<T, U> Default for PostcardCodec<T, U> {
    fn default() -> Self {
        Self(PhantomData)
    }
}

impl<T, U> Codec for PostcardCodec<T, U>
where
    T: Serialize + Send + 'static,
    U: DeserializeOwned + Send + 'static,
{
    type Encode = T;
    type Decode = U;
    type Encoder = PostcardEncoder<T>;
    type Decoder = PostcardDecoder<U>;

    fn encoder(&mut self) -> Self::Encoder {
        PostcardEncoder(PhantomData)
    }

    fn decoder(&mut self) -> Self::Decoder {
        PostcardDecoder(PhantomData)
    }
}

/// Encoder half of [`PostcardCodec`].
#[derive(Debug)]
pub struct PostcardEncoder<T>(PhantomData<fn() -> T>);

impl<T: Serialize> Encoder for PostcardEncoder<T> {
    type Item = T;
    type Error = Status;

    fn encode(&mut self, item: T, dst: &mut EncodeBuf<'_>) -> Result<(), Status> {
        let encoded = postcard::to_stdvec(&item)
            .map_err(|error| Status::internal(format!("message cannot be encoded: {error}")))?;
        dst.put_slice(&encoded);
        Ok(())
    }
}

/// Decoder half of [`PostcardCodec`].
#[derive(Debug)]
pub struct PostcardDecoder<U>(PhantomData<fn() -> U>);

impl<U: DeserializeOwned> Decoder for PostcardDecoder<U> {
    type Item = U;
    type Error = Status;

    fn decode(&mut self, src: &mut DecodeBuf<'_>) -> Result<Option<U>, Status> {
        let encoded = src.copy_to_bytes(src.remaining());
        let item = postcard::from_bytes(&encoded).map_err(|error| {
            Status::invalid_argument(format!(
                "message cannot be decoded ({error}); check that both processes run the same release"
            ))
        })?;
        Ok(Some(item))
    }
}
