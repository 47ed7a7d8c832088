//! Service whose open requests are counted.

use std::sync::Arc;

use futures::FutureExt;
use futures::future::BoxFuture;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::service::Service;
use hyper::{Request, Response, Version};

use super::connection_activity::ConnectionActivity;
use super::counted_body::CountedBody;

/// Service that reports its requests and announces the close of a connection.
#[derive(Debug)]
pub struct CountedService<S> {
    service: S,
    activity: Arc<ConnectionActivity>,
}

impl<S> CountedService<S> {
    pub(super) const fn new(service: S, activity: Arc<ConnectionActivity>) -> Self {
        Self { service, activity }
    }
}

impl<S, B> Service<Request<Incoming>> for CountedService<S>
where
    S: Service<Request<Incoming>, Response = Response<B>>,
    S::Future: Send + 'static,
    B: Body + Unpin,
{
    type Response = Response<CountedBody<B>>;
    type Error = S::Error;
    type Future = BoxFuture<'static, Result<Self::Response, Self::Error>>;

    fn call(&self, req: Request<Incoming>) -> Self::Future {
        let is_multiplexed = req.version() == Version::HTTP_2;
        let guard = self.activity.begin_request(is_multiplexed);
        self.activity
            .record_framing(req.version() < Version::HTTP_11);
        let activity = Arc::clone(&self.activity);
        let response = self.service.call(req);
        let counted = async move {
            let mut response = response.await?;
            if activity.is_close_announced() && !is_multiplexed {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok(response.map(|body| CountedBody::new(body, guard)))
        };
        counted.boxed()
    }
}
