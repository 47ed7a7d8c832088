//! HTTP requests over pooled connections.

use std::error::Error as _;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::{PoisonError, RwLock};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use teaselglade_core::verdict::SendProgress;
use tokio::time::timeout;

use super::body_reader::BodyReader;
use super::{CallError, Result, check_response_head};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
const MAX_IDLE_CONNECTIONS_PER_HOST: usize = 64;

type PooledClient = Client<HttpConnector, Full<Bytes>>;

/// HTTP request to a socket address.
#[derive(Debug, Clone)]
pub struct HttpRequest {
    method: Method,
    address: SocketAddr,
    path: String,
    headers: Vec<(String, String)>,
    body: Bytes,
    head_timeout: Duration,
    stall_timeout: Option<Duration>,
}

impl HttpRequest {
    const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);

    /// Creates a request with the given method.
    pub fn new(method: Method, address: SocketAddr, path: impl Into<String>) -> Self {
        Self {
            method,
            address,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
            head_timeout: Self::DEFAULT_TIMEOUT,
            stall_timeout: None,
        }
    }

    /// Creates a `GET` request.
    pub fn get(address: SocketAddr, path: impl Into<String>) -> Self {
        Self::new(Method::GET, address, path)
    }

    /// Creates a `POST` request.
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

    /// Sets the maximum wait for the response head.
    ///
    /// [`HttpClient::call`] also applies it to the response body, separately, unless
    /// [`stall_timeout`](Self::stall_timeout) is set.
    #[must_use]
    pub const fn head_timeout(mut self, timeout: Duration) -> Self {
        self.head_timeout = timeout;
        self
    }

    /// Sets the maximum wait for each part of the response body, for bodies of any size.
    ///
    /// On a narrow link, a large body takes longer than a peer that is alive may be silent. It may
    /// take 10 s in all.
    #[must_use]
    pub const fn stall_timeout(mut self, timeout: Duration) -> Self {
        self.stall_timeout = Some(timeout);
        self
    }

    fn into_hyper_request(self) -> Result<Request<Full<Bytes>>> {
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

/// Whole response to an HTTP request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers, without those whose values are not text.
    pub headers: Vec<(String, String)>,
    /// Body of the response.
    pub body: Bytes,
}

impl HttpResponse {
    /// Returns whether the status is a 2xx success status.
    #[must_use]
    pub const fn is_success(&self) -> bool {
        self.status >= 200 && self.status < 300
    }

    /// Returns the value of a header; `name` must be in lower case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(header, _)| header == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// HTTP client whose pooled connections can be dropped all at once.
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
    /// Drops all pooled connections; later requests open new ones.
    pub fn reset_connections(&self) {
        let mut client = self.client.write().unwrap_or_else(PoisonError::into_inner);
        *client = new_client();
    }

    /// Sends a request and returns the response before its body is read.
    ///
    /// # Errors
    ///
    /// Fails if no response head arrives in time, or the head cannot answer the request.
    pub async fn send_streaming(&self, request: HttpRequest) -> Result<Response<Incoming>> {
        let head_timeout = request.head_timeout;
        let request = request.into_hyper_request()?;
        let client = self
            .client
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        match timeout(head_timeout, client.request(request)).await {
            Ok(Ok(response)) => {
                check_response_head(response.status(), response.headers())?;
                Ok(response)
            }
            Ok(Err(error)) => Err(CallError::new(
                send_progress(&error),
                error_chain_text(&error),
            )),
            Err(_elapsed) => Err(CallError::new(
                SendProgress::MaybeSent,
                format!("no answer in {head_timeout:?}"),
            )),
        }
    }

    /// Sends a request and returns the whole response.
    ///
    /// # Errors
    ///
    /// Fails if the whole response does not arrive in time or its body is too large.
    pub async fn call(&self, request: HttpRequest) -> Result<HttpResponse> {
        let (time_limit, stall_timeout) = (request.head_timeout, request.stall_timeout);
        let response = self.send_streaming(request).await?;
        let (parts, body) = response.into_parts();
        let reader = BodyReader::new(body);
        let body = match stall_timeout {
            Some(stall_timeout) => reader.read_while_flowing(stall_timeout).await?,
            None => reader.read_within(time_limit).await?,
        };
        let to_text = |value: &hyper::header::HeaderValue| value.to_str().ok().map(str::to_owned);
        let headers = parts.headers.iter();
        let headers = headers.filter_map(|(name, value)| Some((name.to_string(), to_text(value)?)));
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
        .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS_PER_HOST)
        .retry_canceled_requests(false)
        .build(connector)
}

fn send_progress(error: &hyper_util::client::legacy::Error) -> SendProgress {
    if error.is_connect() {
        return SendProgress::NotSent;
    }
    SendProgress::MaybeSent
}

fn error_chain_text(error: &hyper_util::client::legacy::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        let _infallible = write!(text, ": {cause}");
        source = cause.source();
    }
    text
}
