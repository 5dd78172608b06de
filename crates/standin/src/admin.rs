//! The `admin` module lets tests and scripts read and set a stand-in's faults over
//! HTTP; see `docs/STANDINS.md`.

use aspenloft_transport::server;
use http_types::{Method, Request, Response};
use parking_lot::Mutex;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The path at which a stand-in shows (`GET`) and takes (`POST`) its faults.
pub const FAULTS_PATH: &str = "/standin/faults";

/// The path at which a stand-in shows what it has recorded.
pub const RECORDS_PATH: &str = "/standin/records";

/// The largest set of faults, in bytes.
const MAX_FAULTS_BYTES: usize = 64 * 1024;

/// Answers a request at [`FAULTS_PATH`]. Fields that a `POST` leaves out take
/// their default, which is always "no fault".
pub async fn serve_faults<F>(req: &mut Request, faults: &Mutex<F>) -> Response
where
    F: Serialize + DeserializeOwned + Clone,
{
    if req.method() == Method::Post {
        match server::read_json::<F>(req, MAX_FAULTS_BYTES).await {
            Ok(fresh) => *faults.lock() = fresh,
            Err(e) => return server::outcome(Err::<(), _>(e)),
        }
    }
    let now = faults.lock().clone();
    server::json(&now)
}
