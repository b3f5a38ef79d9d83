//! HTTP handlers of a target: tasks and the control interface.

use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::extract::Path;
use axum::extract::State;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use dfs_ids::Millis;
use dfs_ids::ServiceName;
use http::StatusCode;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use super::Behaviour;
use super::Start;
use super::TargetControl;
use super::state::TargetState;

/// Largest accepted task body.
const MAX_TASK_BYTES: usize = 16 << 20;

/// Fields of a task body that the target stand-in acts on; all others are ignored.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct TaskBody {
    run_ms: Millis,
    fail: bool,
    echo: Value,
}

pub(super) fn router(state: TargetState) -> Router {
    Router::new()
        .route("/{service}", post(run_task))
        .layer(DefaultBodyLimit::max(MAX_TASK_BYTES))
        .with_state(state)
}

pub(super) fn control_router(state: TargetState) -> Router {
    Router::new()
        .route("/control", get(get_control).post(post_control))
        .route("/control/starts", get(get_starts))
        .route("/control/duplicates", get(get_duplicates))
        .with_state(state)
}

/// Runs a task to its end even if the caller disconnects, as a real target would.
async fn run_task(
    State(state): State<TargetState>,
    Path(service): Path<ServiceName>,
    Json(body): Json<Value>,
) -> Response {
    state.log().add(service, body.clone());
    let task = tokio::spawn(async move { execute_task(&state, body).await });
    task.await
        .unwrap_or_else(|_| StatusCode::INTERNAL_SERVER_ERROR.into_response())
}

async fn execute_task(state: &TargetState, body: Value) -> Response {
    let _guard = state.begin_task();
    let task = match serde_json::from_value::<TaskBody>(body) {
        Ok(task) => task,
        Err(e) => return failure(StatusCode::BAD_REQUEST, &e.to_string()),
    };
    let run_time = Duration::from(task.run_ms);
    match state.behaviour() {
        Behaviour::Fail => return failure(StatusCode::INTERNAL_SERVER_ERROR, "target fails"),
        Behaviour::Silent => std::future::pending().await,
        Behaviour::SlowBy(factor) => tokio::time::sleep(run_time.mul_f64(factor.max(0.0))).await,
        Behaviour::Normal | Behaviour::Refuse => tokio::time::sleep(run_time).await,
    }
    if task.fail {
        return failure(StatusCode::INTERNAL_SERVER_ERROR, "task fails");
    }
    Json(json!({ "ok": true, "echo": task.echo })).into_response()
}

fn failure(status: StatusCode, message: &str) -> Response {
    (status, Json(json!({ "ok": false, "error": message }))).into_response()
}

async fn get_control(State(state): State<TargetState>) -> Json<TargetControl> {
    Json(TargetControl {
        behaviour: Some(state.behaviour()),
        announcing: Some(state.announcer().is_announcing()),
        goodbye: false,
    })
}

async fn post_control(
    State(state): State<TargetState>,
    Json(control): Json<TargetControl>,
) -> Response {
    if let Some(behaviour) = control.behaviour {
        state.set_behaviour(behaviour).await;
    }
    if let Some(announcing) = control.announcing {
        state.announcer().set_announcing(announcing);
    }
    if control.goodbye
        && let Err(e) = state.announcer().goodbye().await
    {
        return failure(StatusCode::BAD_GATEWAY, &e.to_string());
    }
    get_control(State(state)).await.into_response()
}

async fn get_starts(State(state): State<TargetState>) -> Json<Vec<Start>> {
    Json(state.log().all())
}

async fn get_duplicates(State(state): State<TargetState>) -> Response {
    Json(state.log().duplicates()).into_response()
}
