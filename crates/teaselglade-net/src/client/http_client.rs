//! Calls by HTTP over pooled connections.

use std::error::Error as _;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::{PoisonError, RwLock};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use teaselglade_core::verdict::SendProgress;
use tokio::time::timeout;

use super::{CallError, Result};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
const MAX_IDLE_PER_HOST: usize = 64;
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

type PooledClient = Client<HttpConnector, Full<Bytes>>;

/// One HTTP call.
#[derive(Debug, Clone)]
pub struct HttpRequest {
    method: Method,
    address: SocketAddr,
    path: String,
    headers: Vec<(String, String)>,
    body: Bytes,
    head_timeout: Duration,
}

impl HttpRequest {
    const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);

    /// Makes a call with the given method.
    pub fn new(method: Method, address: SocketAddr, path: impl Into<String>) -> Self {
        Self {
            method,
            address,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
            head_timeout: Self::DEFAULT_TIMEOUT,
        }
    }

    /// Makes a `GET` call.
    pub fn get(address: SocketAddr, path: impl Into<String>) -> Self {
        Self::new(Method::GET, address, path)
    }

    /// Makes a `POST` call.
    pub fn post(address: SocketAddr, path: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Self::new(Method::POST, address, path).body(body)
    }

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: impl Into<String>, value: impl Into<String>) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }

    /// Sets the longest wait for the head of the answer.
    #[must_use]
    pub const fn head_timeout(mut self, span: Duration) -> Self {
        self.head_timeout = span;
        self
    }

    fn into_request(self) -> Result<Request<Full<Bytes>>> {
        let uri = format!("http://{}{}", self.address, self.path);
        let mut builder = Request::builder().method(self.method).uri(uri);
        for (name, value) in self.headers {
            builder = builder.header(name, value);
        }
        builder
            .body(Full::new(self.body))
            .map_err(|error| CallError::new(SendProgress::NotSent, error.to_string()))
    }
}

/// Whole answer to an HTTP call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers, with values that are no text left out.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
}

impl HttpResponse {
    /// Returns whether the status says success.
    #[must_use]
    pub const fn is_success(&self) -> bool {
        self.status >= 200 && self.status < 300
    }

    /// Returns the value of a header; `name` is in lower case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(header, _)| header == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// HTTP client with pooled connections that can be given up all at once.
#[derive(Debug)]
pub struct HttpClient {
    client: RwLock<PooledClient>,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self {
            client: RwLock::new(new_client()),
        }
    }
}

impl HttpClient {
    /// Gives up all pooled connections; later calls open new ones.
    pub fn reset_connections(&self) {
        let mut client = self.client.write().unwrap_or_else(PoisonError::into_inner);
        *client = new_client();
    }

    /// Sends a call and returns the answer with its body still to come.
    ///
    /// # Errors
    ///
    /// Fails where no head of an answer arrives in time.
    pub async fn send_streaming(&self, call: HttpRequest) -> Result<Response<Incoming>> {
        let span = call.head_timeout;
        let request = call.into_request()?;
        let client = self
            .client
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        match timeout(span, client.request(request)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) => Err(CallError::new(failed_progress(&error), chain_text(&error))),
            Err(_elapsed) => Err(CallError::new(
                SendProgress::MaybeSent,
                format!("no answer in {span:?}"),
            )),
        }
    }

    /// Sends a call and returns the whole answer.
    ///
    /// # Errors
    ///
    /// Fails where no whole answer arrives in time.
    pub async fn call(&self, call: HttpRequest) -> Result<HttpResponse> {
        let span = call.head_timeout;
        let response = self.send_streaming(call).await?;
        let (parts, body) = response.into_parts();
        let collected = timeout(span, Limited::new(body, MAX_ANSWER_BYTES).collect()).await;
        let body = match collected {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) => {
                return Err(CallError::new(SendProgress::MaybeSent, error.to_string()));
            }
            Err(_elapsed) => {
                let detail = format!("answer not whole in {span:?}");
                return Err(CallError::new(SendProgress::MaybeSent, detail));
            }
        };
        let text = |value: &hyper::header::HeaderValue| value.to_str().ok().map(str::to_owned);
        let headers = parts.headers.iter();
        let headers = headers.filter_map(|(name, value)| Some((name.to_string(), text(value)?)));
        Ok(HttpResponse {
            status: parts.status.as_u16(),
            headers: headers.collect(),
            body,
        })
    }
}

fn new_client() -> PooledClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(MAX_IDLE_PER_HOST)
        .retry_canceled_requests(false)
        .build(connector)
}

fn failed_progress(error: &hyper_util::client::legacy::Error) -> SendProgress {
    if error.is_connect() {
        return SendProgress::NotSent;
    }
    SendProgress::MaybeSent
}

fn chain_text(error: &hyper_util::client::legacy::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        let _infallible = write!(text, ": {cause}");
        source = cause.source();
    }
    text
}
